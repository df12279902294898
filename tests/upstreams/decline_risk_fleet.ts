import { setImmediate as nextTurn } from "node:timers/promises";
import { pino } from "pino";
import { DeclineLimits } from "../../src/upstreams/decline_limits.ts";
import { DeclineRiskLimiter } from "../../src/upstreams/decline_risk_limiter.ts";
import { FleetSlots } from "../../src/upstreams/fleet_slots.ts";
import { SlotLoans } from "../../src/upstreams/slot_loans.ts";
import type { SlotMessage } from "../../src/upstreams/slot_message.ts";
import { Upstream } from "../../src/upstreams/upstream.ts";
import { Random } from "../../src/random/random.ts";
import { VirtualTimeline } from "../clock/virtual_timeline.ts";
import { buildUpstream } from "../published/build_published.ts";

/** Minimum and maximum delay until a request or response arrives, in milliseconds. */
const DELAY_MS = [1, 5] as const;
/** Minimum and maximum time that a request runs, in milliseconds. */
const WORK_MS = [15, 40] as const;
/** Interval between two gossip rounds of a host, and the hosts that it reaches in each, by the size of the fleet. */
const GOSSIP = {
  small: { intervalMs: 200, targets: 12 },
  large: { intervalMs: 600, targets: 3 },
} as const;
const MAX_SMALL_FLEET = 12;
/** Fraction of the messages between hosts that are lost. */
const MESSAGE_LOSS = 0.1;
/** Time that a host which has just started needs to discover the fleet, in milliseconds. */
const DISCOVERY_MS = 800;
/** Number of other hosts that a host knows until then. */
const KNOWN_AT_START = 2;
/** Maximum number of upstreams that one request is sent to. */
const MAX_ATTEMPTS = 4;
/** Time that passes between two runs of what waits for a promise, in milliseconds: the shortest delay of a message. */
const STEP_MS = 1;
const SERVICE = "s";
const SILENT = pino({ level: "silent" });

/** Options of a {@link DeclineRiskFleet}. */
export interface DeclineRiskFleetOptions {
  seed: number;
  hosts: number;
  upstreams: number;
  /** Requests that an upstream runs at once; it declines any more. */
  slots: number;
  /** Declined requests per second that an upstream states to bear. */
  maxDeclines: number;
  /** Whether hosts respect what the upstreams state. */
  isLimited: boolean;
  /** Requests per second of the fleet at a time. */
  getRate: (now: number) => number;
  /** Time at which a tenth of the hosts restarts, in milliseconds. */
  restartAt: number;
}

interface FleetHost {
  startedAt: number;
  limits: DeclineLimits;
  loans: SlotLoans;
  limiter: DeclineRiskLimiter;
  upstreams: Upstream[];
}

/** Hosts in virtual time that send requests to upstreams that fail if they decline too many. */
export class DeclineRiskFleet {
  /** By upstream, the times at which it declined a request. */
  readonly declinedAt: number[][];
  /** Number of requests that were run. */
  served = 0;
  /** Number of requests that no upstream ran. */
  refused = 0;
  private readonly timeline = VirtualTimeline.create();
  private readonly random: Random;
  private readonly hosts: FleetHost[];
  private readonly running: number[];

  private constructor(private readonly options: DeclineRiskFleetOptions) {
    const { hosts, upstreams, seed, restartAt } = options;
    this.random = Random.create(seed);
    this.running = Array.from({ length: upstreams }, () => 0);
    this.declinedAt = Array.from({ length: upstreams }, () => []);
    this.hosts = Array.from(
      { length: hosts },
      (_, index) => this.createHost(index, -DISCOVERY_MS),
    );
    const { intervalMs } = this.gossip;
    for (let index = 0; index < hosts; index++) {
      this.timeline.after(
        this.random.integer(0, intervalMs),
        () => this.timeline.every(intervalMs, () => this.sendGossip(index)),
      );
    }
    this.timeline.after(restartAt, () => this.restartTenth());
    this.scheduleRequest();
  }

  /** Creates a fleet.
   * @param options Its options. */
  static create(options: DeclineRiskFleetOptions): DeclineRiskFleet {
    return new DeclineRiskFleet(options);
  }

  /** Advances the time.
   * @param until Virtual milliseconds. */
  async runUntil(until: number): Promise<void> {
    for (let now = this.timeline.read(); now < until; now += STEP_MS) {
      this.timeline.runUntil(now + STEP_MS);
      await nextTurn();
    }
  }

  private get gossip() {
    return GOSSIP[this.options.hosts > MAX_SMALL_FLEET ? "large" : "small"];
  }

  private createHost(index: number, startedAt: number): FleetHost {
    const upstreams = this.createUpstreams();
    const slots = this.createSlots(index, startedAt);
    const loans = SlotLoans.create({
      logger: SILENT,
      slots,
      timeline: this.timeline,
      random: this.random.fork(),
      ownAddress: getHostId(index),
      getAddress: (hostId) => hostId,
      send: (address, message) =>
        this.deliver(getHostId(index), address, message),
      findUpstream: (instanceHash) =>
        upstreams.find((upstream) => upstream.instanceHash === instanceHash),
    });
    const limiter = DeclineRiskLimiter.create(slots, loans);
    const limits = DeclineLimits.create();
    return { startedAt, limits, loans, limiter, upstreams };
  }

  private createSlots(index: number, startedAt: number): FleetSlots {
    const { hosts } = this.options;
    const others = Array.from({ length: hosts }, (_, other) => other)
      .filter((other) => other !== index).map(getHostId);
    const known = this.random.shuffle(others).slice(0, KNOWN_AT_START);
    const knowsFleet = () => this.timeline.read() - startedAt >= DISCOVERY_MS;
    return FleetSlots.create({
      hostId: getHostId(index),
      getOtherHostIds: () => knowsFleet() ? others : known,
      knowsFleet,
    });
  }

  private createUpstreams(): Upstream[] {
    const { upstreams, slots } = this.options;
    return Array.from(
      { length: upstreams },
      (_, upstream) =>
        Upstream.create(
          buildUpstream({ id: `u-${upstream}`, service: SERVICE, slots }),
        ),
    );
  }

  private deliver(from: string, to: string, message: SlotMessage): void {
    if (this.random.fraction() < MESSAGE_LOSS) return;
    this.timeline.after(this.random.integer(...DELAY_MS), () => {
      const index = Number(to.slice("g-".length));
      this.hosts[index]!.loans.handle(message, from);
    });
  }

  /** Restarts a tenth of the hosts; each first learns the statements that another host knows. */
  private restartTenth(): void {
    const now = this.timeline.read();
    for (let index = 0; index < this.hosts.length; index += 10) {
      const peer = this.hosts[(index + 1) % this.hosts.length]!;
      const host = this.createHost(index, now);
      host.limits.merge(peer.limits.getStatements(now), now);
      this.hosts[index] = host;
    }
  }

  private sendGossip(from: number): void {
    const statements = this.hosts[from]!.limits.getStatements(
      this.timeline.read(),
    );
    const others = this.random.shuffle(this.hosts.map((_, index) => index))
      .filter((index) => index !== from);
    for (const index of others.slice(0, this.gossip.targets)) {
      if (this.random.fraction() < MESSAGE_LOSS) continue;
      this.timeline.after(
        this.random.integer(...DELAY_MS),
        () => this.hosts[index]!.limits.merge(statements, this.timeline.read()),
      );
    }
  }

  private scheduleRequest(): void {
    const meanMs = 1_000 / this.options.getRate(this.timeline.read());
    const delayMs = -Math.log(1 - this.random.fraction()) * meanMs;
    this.timeline.after(delayMs, () => {
      this.sendRequest(this.random.pick(this.hosts), new Set());
      this.scheduleRequest();
    });
  }

  private sendRequest(
    host: FleetHost,
    tried: Set<string>,
    hasBorrowed = false,
  ): void {
    const now = this.timeline.read();
    const limit = this.options.isLimited
      ? host.limits.getLimit(SERVICE, now)
      : undefined;
    const untried = host.upstreams.filter(({ id, availability }) =>
      !tried.has(id) && availability.hasCapacity(now)
    );
    const usable = limit === undefined
      ? untried
      : host.limiter.selectAdmitting(untried, limit, now);
    if (usable.length === 0 && untried.length > 0 && !hasBorrowed) {
      void host.loans.borrow(untried).then((isGranted) => {
        if (isGranted) this.sendRequest(host, tried, true);
        else this.refused += 1;
      });
      return;
    }
    if (usable.length === 0 || tried.size >= MAX_ATTEMPTS) {
      this.refused += 1;
      return;
    }
    const target = this.random.shuffle(usable)
      .reduce((best, each) =>
        each.ownRequests < best.ownRequests ? each : best
      );
    tried.add(target.id);
    if (limit !== undefined) host.limiter.recordSend(target, now);
    target.ownRequests += 1;
    this.timeline.after(
      this.random.integer(...DELAY_MS),
      () => this.arrive(host, target, tried),
    );
  }

  private arrive(host: FleetHost, target: Upstream, tried: Set<string>): void {
    const index = Number(target.id.slice("u-".length));
    if (this.running[index]! >= this.options.slots) {
      this.declinedAt[index]!.push(this.timeline.read());
      return this.respond(host, target, () => {
        const now = this.timeline.read();
        target.availability.recordDecline(now);
        this.sendRequest(host, tried);
      });
    }
    this.running[index]! += 1;
    this.timeline.after(this.random.integer(...WORK_MS), () => {
      this.running[index]! -= 1;
      this.respond(host, target, () => this.served += 1);
    });
  }

  private respond(host: FleetHost, target: Upstream, then: () => void): void {
    this.timeline.after(this.random.integer(...DELAY_MS), () => {
      target.ownRequests -= 1;
      const now = this.timeline.read();
      host.limits.record(SERVICE, this.options.maxDeclines, now);
      then();
    });
  }
}

function getHostId(index: number): string {
  return `g-${index}`;
}
