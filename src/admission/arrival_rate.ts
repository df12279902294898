/** Time over which arrivals are counted, in milliseconds. */
const WINDOW_MS = 1_000;

/** Rate of arrivals, from a count that decays exponentially. */
export class ArrivalRate {
  private count = 0;
  private countedAt = -Infinity;

  private constructor() {}

  /** Creates a rate of zero. */
  static create(): ArrivalRate {
    return new ArrivalRate();
  }

  /** Counts an arrival.
   * @param now Monotonic milliseconds.
   * @param weight What it counts for. */
  note(now: number, weight = 1): void {
    this.count = this.getCount(now) + weight;
    this.countedAt = now;
  }

  /** Arrivals of the last second; the older, the less each counts.
   * @param now Monotonic milliseconds. */
  getCount(now: number): number {
    return this.count * Math.exp((this.countedAt - now) / WINDOW_MS);
  }

  /** Arrivals in a millisecond.
   * @param now Monotonic milliseconds. */
  getPerMs(now: number): number {
    return this.getCount(now) / WINDOW_MS;
  }
}
