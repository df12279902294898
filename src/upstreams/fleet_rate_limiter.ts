import { rankByRendezvous } from "../hashing/rendezvous.ts";

/** Minimum interval between two requests of one slot, in milliseconds. */
const MIN_SLOT_INTERVAL_MS = 1_000;
/** Time for which this host's slots on an upstream are cached, in milliseconds: two gossip rounds. */
const SLOTS_CACHE_MS = 400;
/** Time after the last use after which the state of an upstream is removed, in milliseconds. */
const STATE_TTL_MS = 10_000;

/** Dependencies of a {@link FleetRateLimiter}. */
export interface FleetRateLimiterOptions {
  hostId: string;
  /** Returns the ids of all other known hosts, including those that are unreachable from here: they may still send. */
  getOtherHostIds: () => readonly string[];
  /** Whether the known hosts are likely the whole fleet. */
  knowsFleet: () => boolean;
  /** Minimum interval between two requests of one slot, in milliseconds; by default a second. */
  minSlotIntervalMs?: number;
}

/** State of one upstream whose requests are limited. */
interface LimitState {
  /** Number of slots that this host owns, and when it was computed. */
  slots: number;
  computedAt: number;
  /** Monotonic milliseconds of this host's recent requests. */
  sentAt: number[];
}

/** Limits the rate of the fleet's requests to single upstreams, such as those that are warming up after a start. The
 * permitted rate is divided into slots of one request per second. Each slot belongs to the host of its rank in the
 * upstream's rendezvous order of all hosts, so hosts need no messages to agree, and hosts with different views of the
 * fleet share few slots. A host that has not discovered the fleet yet owns none. */
export class FleetRateLimiter {
  private readonly states = new Map<string, LimitState>();

  private constructor(private readonly options: FleetRateLimiterOptions) {}

  /** Creates a limiter.
   * @param options Its dependencies. */
  static create(options: FleetRateLimiterOptions): FleetRateLimiter {
    return new FleetRateLimiter(options);
  }

  /** Whether this host may send a request to an upstream now.
   * @param upstreamId Id of the upstream.
   * @param requestsPerSecond Permitted rate of the fleet.
   * @param now Monotonic milliseconds. */
  admits(
    upstreamId: string,
    requestsPerSecond: number,
    now: number,
  ): boolean {
    const state = this.getState(upstreamId, requestsPerSecond, now);
    const { minSlotIntervalMs = MIN_SLOT_INTERVAL_MS } = this.options;
    const intervalMs = getSlotIntervalMs(requestsPerSecond, minSlotIntervalMs);
    state.sentAt = state.sentAt.filter((at) => now - at < intervalMs);
    return state.sentAt.length < state.slots;
  }

  /** Records that a request is sent to an upstream whose rate is limited.
   * @param upstreamId Id of the upstream.
   * @param now Monotonic milliseconds. */
  recordSend(upstreamId: string, now: number): void {
    this.states.get(upstreamId)?.sentAt.push(now);
    for (const [id, { computedAt }] of this.states) {
      if (now - computedAt > STATE_TTL_MS) this.states.delete(id);
    }
  }

  private getState(
    upstreamId: string,
    requestsPerSecond: number,
    now: number,
  ): LimitState {
    const known = this.states.get(upstreamId);
    if (known && now - known.computedAt < SLOTS_CACHE_MS) return known;
    const state = {
      slots: this.countOwnSlots(upstreamId, countSlots(requestsPerSecond)),
      computedAt: now,
      sentAt: known?.sentAt ?? [],
    };
    this.states.set(upstreamId, state);
    return state;
  }

  /** Counts the slots of an upstream that belong to this host.
   * @param upstreamId Id of the upstream.
   * @param slots Number of slots that the fleet shares. */
  countOwnSlots(upstreamId: string, slots: number): number {
    const { hostId, getOtherHostIds, knowsFleet } = this.options;
    if (!knowsFleet()) return 0;
    const ranked = rankByRendezvous(upstreamId, [hostId, ...getOtherHostIds()]);
    const rank = ranked.indexOf(hostId);
    return Math.max(0, Math.ceil((slots - rank) / ranked.length));
  }
}

function countSlots(requestsPerSecond: number): number {
  return Math.max(1, Math.floor(requestsPerSecond));
}

/** Returns the interval between two requests of a slot; longer than a second for rates below one per second. */
function getSlotIntervalMs(
  requestsPerSecond: number,
  minIntervalMs: number,
): number {
  const slots = countSlots(requestsPerSecond);
  return Math.max(minIntervalMs, 1_000 * slots / requestsPerSecond);
}
