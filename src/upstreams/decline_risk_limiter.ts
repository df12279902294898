import { FleetRateLimiter } from "./fleet_rate_limiter.ts";
import type { FleetSlots } from "./fleet_slots.ts";
import type { SlotLoans } from "./slot_loans.ts";
import type { Upstream } from "./upstream.ts";

/** Minimum interval between two requests of one slot that an upstream may decline, in milliseconds: more than a second,
 * because their delays until they arrive differ. */
const MIN_SLOT_INTERVAL_MS = 1_200;

/** Fraction of the permitted declines that the fleet risks. A request beyond an upstream's slots may be accepted in
 * place of another that is then declined. */
const RISKED_FRACTION = 0.5;

/** Limits the requests that an upstream may have to decline, for upstreams that fail if they decline too many. Each host
 * owns part of the upstream's slots, or borrows some of other hosts, and fills only these without risk; beyond them, the
 * fleet sends a fraction of the requests per second that the upstream may decline. */
export class DeclineRiskLimiter {
  private readonly rate: FleetRateLimiter;

  private constructor(slots: FleetSlots, private readonly loans: SlotLoans) {
    this.rate = FleetRateLimiter.create(slots, MIN_SLOT_INTERVAL_MS);
  }

  /** Creates a limiter.
   * @param slots Distributes the risked requests among the hosts.
   * @param loans Knows the slots of upstreams that this host owns or has borrowed. */
  static create(slots: FleetSlots, loans: SlotLoans): DeclineRiskLimiter {
    return new DeclineRiskLimiter(slots, loans);
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
    return upstreams.filter((upstream) =>
      this.loans.hasFreeSlot(upstream, now) ||
      this.rate.admits(getRiskKey(upstream), rate, now)
    );
  }

  /** Records that a request is about to be sent to an upstream with such a limit.
   * @param upstream The upstream.
   * @param now Monotonic milliseconds. */
  recordSend(upstream: Upstream, now: number): void {
    if (!this.loans.hasFreeSlot(upstream, now)) {
      this.rate.recordSend(getRiskKey(upstream), now);
    }
  }
}

/** Returns the key under which the slots for risked requests are distributed: independently of the upstream's own slots,
 * since the hosts that own one of these need no other. */
function getRiskKey({ id }: Upstream): string {
  return `${id} risk`;
}
