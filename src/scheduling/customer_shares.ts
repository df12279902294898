import { DecayedCounts } from "./decayed_counts.ts";

/** Time constant of a customer's usual load, in milliseconds. */
const USUAL_TIME_MS = 60_000;
/** Time constant of a customer's current load, in milliseconds. Long enough for several requests of a customer whose load
 * surges, even where few of its callers use this host. */
const CURRENT_TIME_MS = 3_000;
/** Number of standard deviations by which a customer's load has to exceed its share before it counts as above it. */
const SIGNIFICANT_DEVIATIONS = 2;

/** The customers' shares of one service, from the requests that this host has received. A customer is entitled to an equal
 * part or to its usual part, whichever is greater, and may use more while there is room. */
export class CustomerShares {
  private readonly usual = DecayedCounts.create(USUAL_TIME_MS);
  private readonly current = DecayedCounts.create(CURRENT_TIME_MS);

  private constructor() {}

  /** Creates shares without recorded requests. */
  static create(): CustomerShares {
    return new CustomerShares();
  }

  /** Records a request that was received, whether or not it is served.
   * @param customer Its customer; empty if it has none.
   * @param now Monotonic milliseconds.
   * @param weight Number of requests. */
  recordArrival(customer: string, now: number, weight = 1): void {
    this.usual.record(customer, now, weight);
    this.current.record(customer, now, weight);
  }

  /** Returns the load of a customer relative to its share: 1 if it is within its share, or above it by less than chance
   * explains.
   * @param customer The customer; empty for requests without one.
   * @param now Monotonic milliseconds. */
  getUsage(customer: string, now: number): number {
    const total = this.current.getTotal(now);
    const expected = total * this.getEntitlement(customer, now);
    const threshold = expected +
      SIGNIFICANT_DEVIATIONS * Math.sqrt(expected) + 1;
    const count = this.current.get(customer, now);
    return count <= threshold ? 1 : Math.max(1, count / expected);
  }

  /** Returns the part of the service that a customer is entitled to, between 0 and 1. */
  private getEntitlement(customer: string, now: number): number {
    const equalPart = 1 / Math.max(1, this.usual.size);
    const usualTotal = this.usual.getTotal(now);
    const currentTotal = this.current.getTotal(now);
    // The surge itself is left out of what is usual.
    const earlier = usualTotal - currentTotal;
    if (earlier < currentTotal) return equalPart;
    const usualPart = (this.usual.get(customer, now) -
      this.current.get(customer, now)) / earlier;
    return Math.max(equalPart, usualPart);
  }
}
