/** Time constant of the exponential decay, in milliseconds. */
const DECAY_TIME_MS = 1_000;

/** Estimates an arrival rate from an exponentially decaying count. */
export class ArrivalRate {
  private count = 0;
  private updatedAt = -Infinity;

  private constructor() {}

  /** Creates an estimator with a rate of zero. */
  static create(): ArrivalRate {
    return new ArrivalRate();
  }

  /** Records an arrival.
   * @param now Monotonic milliseconds.
   * @param weight Amount added to the count. */
  recordArrival(now: number, weight = 1): void {
    this.count = this.getDecayedCount(now) + weight;
    this.updatedAt = now;
  }

  /** Returns the arrivals of about the last second, weighted less the older they are.
   * @param now Monotonic milliseconds. */
  getDecayedCount(now: number): number {
    return this.count * Math.exp((this.updatedAt - now) / DECAY_TIME_MS);
  }

  /** Returns the arrivals per millisecond.
   * @param now Monotonic milliseconds. */
  getRatePerMs(now: number): number {
    return this.getDecayedCount(now) / DECAY_TIME_MS;
  }
}
