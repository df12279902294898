import { setImmediate as nextTurn } from "node:timers/promises";
import { Socket } from "node:net";
import { pino } from "pino";
import { DialError, type DialFailure } from "../../src/network/dial_error.ts";
import { PathMonitor } from "../../src/paths/path_monitor.ts";
import { RelayDirectory } from "../../src/paths/relay_directory.ts";
import type { RelayHost } from "../../src/paths/relay_host.ts";
import { UpstreamPath } from "../../src/paths/upstream_path.ts";
import { Random } from "../../src/random/random.ts";
import {
  type OutageReport,
  OutageReports,
} from "../../src/upstreams/outage_reports.ts";
import { VirtualTimeline } from "../clock/virtual_timeline.ts";

/** Time in which a connection is established or refused, in milliseconds. */
const ROUND_TRIP_MS = 2;
/** Time after which a connection that gets no response fails, in milliseconds. */
const CONNECT_TIMEOUT_MS = 450;
/** Minimum and maximum time until reports and phases reach another host, in milliseconds. */
const REPORT_DELAY_MS = [25, 120] as const;
/** Fraction of the reports that are lost. */
const REPORT_LOSS = 0.05;
/** Interval at which hosts announce their phase, in milliseconds. */
const PHASE_INTERVAL_MS = 600;
/** Steps in which the time is advanced, in milliseconds. */
const STEP_MS = 2;
/** Maximum number of upstreams that one request is sent to. */
const MAX_ATTEMPTS = 4;

/** Options of a {@link PathFleet}. */
export interface PathFleetOptions {
  seed: number;
  hosts: number;
  upstreams: number;
  /** Interval between two requests of a host, in milliseconds. */
  requestIntervalMs: number;
  /** How connections fail on a lost path. */
  failure: Extract<DialFailure, "refused" | "timed_out">;
  /** Whether a host has a path of its own to an upstream at a time. */
  canReach: (host: number, upstream: number, now: number) => boolean;
}

/** A request of a {@link PathFleet}. */
export interface PathRequest {
  host: number;
  sentAt: number;
  /** Time until a connection for it was established, in milliseconds; undefined if none was. */
  connectMs: number | undefined;
}

interface FleetTarget {
  id: string;
  instanceHash: number;
  address: string;
  lastReceivedAt: number;
  isRemoved: boolean;
  path: UpstreamPath;
}

interface FleetHost {
  index: number;
  targets: FleetTarget[];
  monitor: PathMonitor;
  reports: OutageReports;
  /** The other hosts as known here. */
  known: RelayHost[];
}

/** Hosts in virtual time that connect to upstreams by their path monitors and relay for each other. */
export class PathFleet {
  /** All requests so far. */
  readonly requests: PathRequest[] = [];
  /** Number of times that a host asked another one to relay a connection. */
  relayRequests = 0;
  private readonly timeline = VirtualTimeline.create();
  private readonly random: Random;
  private readonly hosts: FleetHost[];

  private constructor(private readonly options: PathFleetOptions) {
    this.random = Random.create(options.seed);
    this.hosts = Array.from(
      { length: options.hosts },
      (_, index) => this.createHost(index),
    );
    for (const host of this.hosts) {
      const offsetMs = this.random.integer(0, options.requestIntervalMs);
      this.timeline.after(offsetMs, () =>
        this.timeline.every(
          options.requestIntervalMs,
          () => void this.sendRequest(host),
        ));
      this.timeline.after(
        this.random.integer(0, PHASE_INTERVAL_MS),
        () => this.timeline.every(PHASE_INTERVAL_MS, () => this.announce(host)),
      );
    }
  }

  /** Creates a fleet.
   * @param options Its options. */
  static create(options: PathFleetOptions): PathFleet {
    return new PathFleet(options);
  }

  /** Advances the time.
   * @param until Virtual milliseconds. */
  async runUntil(until: number): Promise<void> {
    while (this.timeline.read() < until) {
      this.timeline.runUntil(this.timeline.read() + STEP_MS);
      await nextTurn();
    }
  }

  /** Counts, over all hosts, the paths with a state. */
  countPaths(state: UpstreamPath["state"]): number {
    return this.hosts.flatMap(({ targets }) => targets)
      .filter(({ path }) => path.state === state).length;
  }

  /** Ends all timers. */
  close(): void {
    for (const { monitor } of this.hosts) monitor.close();
  }

  private createHost(index: number): FleetHost {
    const { upstreams, hosts } = this.options;
    const targets = Array.from({ length: upstreams }, (_, upstream) => ({
      id: `u-${upstream}`,
      instanceHash: upstream,
      address: String(upstream),
      lastReceivedAt: -Infinity,
      isRemoved: false,
      path: UpstreamPath.create(),
    }));
    const known = Array.from({ length: hosts }, (_, name) => ({
      id: `g-${name}`,
      name,
      peerAddress: String(name),
      hall: "h",
      isPartitioned: false,
    })).filter(({ name }) => name !== index);
    const relays = RelayDirectory.create({
      hall: "h",
      getHosts: () => known,
      random: this.random,
    });
    const monitor = PathMonitor.create({
      logger: pino({ level: "silent" }),
      dial: (address) => this.dial(index, Number(address)),
      openTunnel: ({ name }, { instanceHash }) =>
        this.openTunnel(name, instanceHash),
      relays,
      random: this.random,
      getTargets: () => targets,
      isReportedOut: ({ instanceHash }) =>
        this.hosts[index]!.reports.isOut(instanceHash, this.timeline.read()),
      onChange: ({ instanceHash, path }) =>
        path.isUnreachable && this.report(index, instanceHash),
      onDoubt: ({ instanceHash }) => this.report(index, instanceHash),
      onRecheck: ({ instanceHash, path }) =>
        path.isUnreachable && this.report(index, instanceHash),
      timeline: this.timeline,
    });
    return {
      index,
      targets,
      monitor,
      known,
      reports: this.createReports(index, targets),
    };
  }

  private createReports(
    index: number,
    targets: readonly FleetTarget[],
  ): OutageReports {
    const reports: OutageReports = OutageReports.create({
      reporter: index,
      getLastReceivedAt: (upstream) => targets[upstream]!.lastReceivedAt,
      onPendingReports: () => this.sendReports(index, reports.takePending(100)),
      onOutage: (upstream) => void this.disprove(index, upstream),
      onContradiction: () => undefined,
      onHeardElsewhere: (upstream, host) =>
        this.hosts[index]!.monitor.recordHeardElsewhere(
          targets[upstream]!,
          host,
        ),
    });
    return reports;
  }

  private async disprove(index: number, upstream: number): Promise<void> {
    const { monitor, targets, reports } = this.hosts[index]!;
    if (await monitor.check(targets[upstream]!)) {
      reports.contradict(upstream, this.timeline.read());
    }
  }

  private report(index: number, upstream: number): void {
    this.hosts[index]!.reports.recordFailure(upstream, this.timeline.read());
  }

  private sendReports(from: number, batch: readonly OutageReport[]): void {
    if (batch.length === 0) return;
    this.sendToOthers(
      from,
      (host) => host.reports.merge(batch, this.timeline.read()),
    );
  }

  private announce({ index, targets }: FleetHost): void {
    const isPartitioned = targets.every(({ path }) => !path.isDirect);
    this.sendToOthers(index, ({ known }) => {
      known.find(({ name }) => name === index)!.isPartitioned = isPartitioned;
    });
  }

  private sendToOthers(from: number, deliver: (host: FleetHost) => void): void {
    for (const host of this.hosts) {
      if (host.index === from || this.random.fraction() < REPORT_LOSS) continue;
      this.timeline.after(
        this.random.integer(...REPORT_DELAY_MS),
        () => deliver(host),
      );
    }
  }

  private dial(host: number, upstream: number): Promise<Socket> {
    const { canReach, failure } = this.options;
    return new Promise((resolve, reject) => {
      const isReached = canReach(host, upstream, this.timeline.read());
      const isRefused = !isReached && failure === "refused";
      const delayMs = isReached || isRefused
        ? ROUND_TRIP_MS
        : CONNECT_TIMEOUT_MS;
      this.timeline.after(
        delayMs,
        () =>
          isReached
            ? resolve(new Socket())
            : reject(DialError.create(failure, "path lost")),
      );
    });
  }

  /** Relays a connection as a relay server does. */
  private async openTunnel(relay: number, upstream: number): Promise<Socket> {
    const { monitor, targets } = this.hosts[relay]!;
    const target = targets[upstream]!;
    this.relayRequests += 1;
    await this.wait(ROUND_TRIP_MS);
    if (!target.path.isDirect) throw DialError.create("failed", "path lost");
    try {
      return await this.dial(relay, upstream);
    } catch (thrown) {
      void monitor.check(target);
      throw thrown;
    }
  }

  private wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.timeline.after(durationMs, resolve);
    });
  }

  private async sendRequest(
    { index, targets, monitor }: FleetHost,
  ): Promise<void> {
    const sentAt = this.timeline.read();
    const request: PathRequest = { host: index, sentAt, connectMs: undefined };
    this.requests.push(request);
    const reachable = targets.filter(({ path }) => !path.isUnreachable);
    for (
      const target of this.random.shuffle(reachable).slice(0, MAX_ATTEMPTS)
    ) {
      try {
        (await monitor.connect(target)).socket.destroy();
        target.lastReceivedAt = this.timeline.read();
        request.connectMs = target.lastReceivedAt - sentAt;
        return;
      } catch {
        continue;
      }
    }
  }
}
