/** Weight of the newest request in the means. */
const NEWEST_WEIGHT = 0.02;

/** How long requests stay at an upstream, as exponentially weighted means. */
export class ResidenceTime {
  private count = 0;
  private mean = 0;
  private meanSquare = 0;

  private constructor() {}

  /** Creates the time of no requests. */
  static create(): ResidenceTime {
    return new ResidenceTime();
  }

  /** Mean over all requests, in milliseconds; undefined before the first has ended. */
  get meanMs(): number | undefined {
    return this.count === 0 ? undefined : this.mean;
  }

  /** Mean over the requests that are at an upstream at a random moment, in milliseconds: long ones are found there more
   * often. Undefined before the first request has ended. */
  get heldMeanMs(): number | undefined {
    return this.count === 0 ? undefined : this.meanSquare / this.mean;
  }

  /** Takes the time of a request that has ended.
   * @param durationMs The time in milliseconds. */
  note(durationMs: number): void {
    this.count += 1;
    const weight = Math.max(NEWEST_WEIGHT, 1 / this.count);
    const time = Math.max(1, durationMs);
    this.mean += weight * (time - this.mean);
    this.meanSquare += weight * (time ** 2 - this.meanSquare);
  }
}
