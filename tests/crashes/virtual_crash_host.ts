import { pino } from "pino";
import type {
  CrashDetectorOptions,
  UpstreamInstance,
} from "../../src/crashes/crash_detector.ts";
import { CrashGuard } from "../../src/crashes/crash_guard.ts";
import type { RequestHold } from "../../src/crashes/request_hold.ts";
import { CrashExchange } from "../../src/gateway/crash_exchange.ts";
import { HostRing } from "../../src/peers/host_ring.ts";
import type { Random } from "../../src/random/random.ts";
import type { StartedHost } from "../peers/virtual_fleet.ts";

/** Time for which a host sends nothing to an upstream that it knows to have crashed, in milliseconds. */
const AVOIDED_MS = 3_000;
const SILENT = pino({ level: "silent" });

/** Dependencies of a {@link VirtualCrashHost}. */
export interface VirtualCrashHostOptions {
  started: StartedHost;
  random: Random;
  /** Returns an instance that has not been replaced. */
  findInstance: (instanceHash: number) => UpstreamInstance | undefined;
  check: CrashDetectorOptions["check"];
  onHeld: (hold: RequestHold) => void;
}

/** The crash guard of a host process in virtual time, with its exchange of news. */
export class VirtualCrashHost {
  readonly guard: CrashGuard;
  readonly exchange: CrashExchange;
  /** Virtual milliseconds until which each instance gets no requests. */
  private readonly avoidedUntil = new Map<number, number>();

  private constructor(private readonly options: VirtualCrashHostOptions) {
    this.guard = this.createGuard();
    this.exchange = this.createExchange();
  }

  /** Creates the components of a host that has just started.
   * @param options Its dependencies. */
  static create(options: VirtualCrashHostOptions): VirtualCrashHost {
    return new VirtualCrashHost(options);
  }

  get index(): number {
    return this.options.started.index;
  }

  get timeline(): StartedHost["timeline"] {
    return this.options.started.timeline;
  }

  /** Whether the host sends requests to an instance.
   * @param instanceHash Hash of the instance. */
  sendsTo(instanceHash: number): boolean {
    const until = this.avoidedUntil.get(instanceHash) ?? -Infinity;
    return until <= this.timeline.read();
  }

  /** Ends the process. */
  close(): void {
    this.guard.close();
    this.exchange.close();
  }

  private createGuard(): CrashGuard {
    const { random, findInstance, check, onHeld } = this.options;
    return CrashGuard.create({
      logger: SILENT,
      formatFingerprint: String,
      onPendingNews: () => this.exchange.announce(),
      onHeld,
      onCrash: (instanceHash) =>
        this.avoidedUntil.set(instanceHash, this.timeline.read() + AVOIDED_MS),
      onCrashReported: (instanceHash) => {
        const known = findInstance(instanceHash);
        if (known) this.guard.checkReportedCrash(known);
      },
      isTrialHost: (part) => this.exchange.isTrialHost(part),
      check,
      timeline: this.timeline,
      random: random.fork(),
    });
  }

  private createExchange(): CrashExchange {
    const { started, random } = this.options;
    const { address, hall, gossip, socket, timeline } = started;
    const getLive = () =>
      gossip.hosts.getLive(timeline.read()).map(({ entry }) => ({
        address: entry.gossipAddress,
        hall: entry.hall,
      }));
    return CrashExchange.create({
      socket,
      guard: this.guard,
      ring: HostRing.create({
        own: { address, hall },
        getHosts: getLive,
        timeline,
      }),
      getHosts: () => getLive().map((host) => host.address),
      timeline,
      random: random.fork(),
    });
  }
}
