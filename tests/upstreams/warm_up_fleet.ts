import { FleetSlots } from "../../src/upstreams/fleet_slots.ts";
import { FleetRateLimiter } from "../../src/upstreams/fleet_rate_limiter.ts";
import { VirtualFleet } from "../peers/virtual_fleet.ts";

/** Rate that each upstream bears while it warms up, in requests per second. */
export const WARM_UP_RATE = 8.9;
/** Maximum number of requests in any second that an upstream gets during its warm-up. */
export const MAX_REQUESTS_PER_SECOND = WARM_UP_RATE * 1.5 + 5;
/** Interval at which each host has a request for each upstream, in milliseconds. */
const REQUEST_INTERVAL_MS = 25;
/** Minimum and maximum delay until a request arrives, in milliseconds. */
const ARRIVAL_DELAY_MS = [0, 100] as const;

/** Options of a {@link WarmUpFleet}. */
export interface WarmUpFleetOptions {
  seed: number;
  hosts: number;
  upstreams: number;
  /** Fraction of the datagrams between hosts that are lost. */
  loss: number;
  /** Time within which the hosts start, in milliseconds. */
  startWithinMs: number;
}

/** Fleet in virtual time whose hosts always have requests for all upstreams, while all upstreams are warming up. */
export class WarmUpFleet {
  /** Arrival times of requests by upstream. */
  private readonly arrivals: number[][];
  private readonly limiters = new Map<number, FleetRateLimiter>();

  private constructor(
    /** The hosts. */
    readonly fleet: VirtualFleet,
    private readonly options: WarmUpFleetOptions,
  ) {
    this.arrivals = Array.from({ length: options.upstreams }, () => []);
    fleet.timeline.every(REQUEST_INTERVAL_MS, () => this.sendRequests());
  }

  /** Creates a fleet.
   * @param options Its options. */
  static create(options: WarmUpFleetOptions): WarmUpFleet {
    const { seed, hosts: size, loss, startWithinMs } = options;
    const fleet = VirtualFleet.create({ seed, size, loss, startWithinMs });
    return new WarmUpFleet(fleet, options);
  }

  /** Advances the time.
   * @param until Virtual milliseconds. */
  runUntil(until: number): void {
    this.fleet.timeline.runUntil(until);
  }

  /** Returns the largest number of requests that an upstream got within any second. */
  findPeak(): number {
    return Math.max(...this.arrivals.map(findPeakPerSecond));
  }

  /** Returns the mean rate of requests to an upstream, as a fraction of the rate that it bears.
   * @param from Virtual milliseconds of the start.
   * @param to Virtual milliseconds of the end. */
  measureUse(from: number, to: number): number {
    const requests = this.arrivals.flat().filter((at) => at >= from && at < to);
    const seconds = (to - from) / 1_000;
    return requests.length /
      (this.options.upstreams * seconds * WARM_UP_RATE);
  }

  private sendRequests(): void {
    for (let host = 0; host < this.options.hosts; host++) {
      const gossip = this.fleet.findGossip(host);
      if (!gossip) this.limiters.delete(host);
      else this.sendFrom(host);
    }
  }

  private sendFrom(host: number): void {
    const now = this.fleet.timeline.read();
    const limiter = this.getLimiter(host);
    for (const [index, arrivals] of this.arrivals.entries()) {
      const id = `u-${index}`;
      if (!limiter.admits(id, WARM_UP_RATE, now)) continue;
      limiter.recordSend(id, now);
      const [minDelayMs, maxDelayMs] = ARRIVAL_DELAY_MS;
      const spread = (host * 37 + arrivals.length * 13) %
        (maxDelayMs - minDelayMs);
      arrivals.push(now + minDelayMs + spread);
    }
  }

  private getLimiter(host: number): FleetRateLimiter {
    const known = this.limiters.get(host);
    if (known) return known;
    const limiter = FleetRateLimiter.create(FleetSlots.create({
      hostId: `g-${host}`,
      getOtherHostIds: () =>
        this.fleet.findGossip(host)!.hosts.getAll().map(({ entry }) =>
          entry.id
        ),
      knowsFleet: () => this.fleet.findGossip(host)!.knowsFleet,
    }));
    this.limiters.set(host, limiter);
    return limiter;
  }
}

/** Returns the largest number of times within any second. */
function findPeakPerSecond(times: readonly number[]): number {
  const sorted = times.toSorted((a, b) => a - b);
  let first = 0;
  let peak = 0;
  for (const [index, at] of sorted.entries()) {
    while (at - sorted[first]! >= 1_000) first += 1;
    peak = Math.max(peak, index - first + 1);
  }
  return peak;
}
