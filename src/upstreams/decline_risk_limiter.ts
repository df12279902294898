import { FleetRateLimiter } from "./fleet_rate_limiter.ts";
import type { FleetSlots } from "./fleet_slots.ts";
import type { Upstream } from "./upstream.ts";

/** Minimum interval between two requests of one slot that an upstream may decline, in milliseconds: more than a second,
 * because their delays until they arrive differ. */
const MIN_SLOT_INTERVAL_MS = 1_200;

/** Fraction of the permitted declines that the fleet risks. A request beyond an upstream's slots may be accepted in
 * place of another that is then declined. */
const RISKED_FRACTION = 0.5;

/** Limits the requests that an upstream may have to decline, for upstreams that fail if they decline too many. Each host
 * owns part of the upstream's slots and fills only these without risk; beyond them, the fleet sends a fraction of the
 * requests per second that the upstream may decline. A host of a fleet with more hosts than a service has slots may own
 * none; it has one request at a time on the service, and after a decline none for a while. */
export class DeclineRiskLimiter {
  private readonly rate: FleetRateLimiter;
  /** Monotonic milliseconds of the last decline by an upstream of each service. */
  private readonly declinedAt = new Map<string, number>();

  private constructor(private readonly slots: FleetSlots) {
    this.rate = FleetRateLimiter.create(slots, MIN_SLOT_INTERVAL_MS);
  }

  /** Creates a limiter.
   * @param slots Distributes the slots of upstreams, and those of risked requests, among the hosts. */
  static create(slots: FleetSlots): DeclineRiskLimiter {
    return new DeclineRiskLimiter(slots);
  }

  /** Returns the upstreams of a service to which this host may send a request now.
   * @param upstreams The upstreams of the service that accept requests.
   * @param maxDeclinesPerSecond Requests per second that each can decline without failing.
   * @param now Monotonic milliseconds. */
  selectAdmitting(
    upstreams: readonly Upstream[],
    maxDeclinesPerSecond: number,
    now: number,
  ): Upstream[] {
    const rate = maxDeclinesPerSecond * RISKED_FRACTION;
    const admitting = upstreams.filter((upstream) =>
      this.hasOwnSlot(upstream, now) ||
      this.rate.admits(getRiskKey(upstream), rate, now)
    );
    if (admitting.length > 0) return admitting;
    return this.mayTryWithoutSlots(upstreams, now) ? [...upstreams] : [];
  }

  /** Records that a request is about to be sent to an upstream with such a limit.
   * @param upstream The upstream.
   * @param now Monotonic milliseconds. */
  recordSend(upstream: Upstream, now: number): void {
    if (!this.hasOwnSlot(upstream, now)) {
      this.rate.recordSend(getRiskKey(upstream), now);
    }
  }

  /** Records that an upstream declined a request.
   * @param upstream The upstream.
   * @param now Monotonic milliseconds. */
  recordDecline({ published: { service } }: Upstream, now: number): void {
    this.declinedAt.set(service, now);
  }

  private hasOwnSlot(upstream: Upstream, now: number): boolean {
    return upstream.ownRequests < this.countOwnSlots(upstream, now);
  }

  private countOwnSlots({ id, published }: Upstream, now: number): number {
    return this.slots.countOwn(id, published.slots, now);
  }

  /** Whether this host owns no slot of a service, has no request on it, and saw no decline lately. */
  private mayTryWithoutSlots(
    upstreams: readonly Upstream[],
    now: number,
  ): boolean {
    const isUnused = upstreams.every((upstream) =>
      upstream.ownRequests === 0 && this.countOwnSlots(upstream, now) === 0
    );
    const service = upstreams[0]?.published.service;
    const declinedAt = service === undefined
      ? undefined
      : this.declinedAt.get(service);
    return isUnused &&
      now - (declinedAt ?? -Infinity) > MIN_SLOT_INTERVAL_MS;
  }
}

/** Returns the key under which the slots for risked requests are distributed: independently of the upstream's own slots,
 * since the hosts that own one of these need no other. */
function getRiskKey({ id }: Upstream): string {
  return `${id} risk`;
}
