/** Minimum weight of the latest request in the means. */
const MIN_SAMPLE_WEIGHT = 0.02;

/** Estimates how long requests stay at an upstream, as exponentially weighted means. */
export class ResidenceTime {
  private count = 0;
  private mean = 0;
  private meanSquare = 0;

  private constructor() {}

  /** Creates an estimator without samples. */
  static create(): ResidenceTime {
    return new ResidenceTime();
  }

  /** Mean duration of all requests, in milliseconds; undefined until the first one has completed. */
  get meanMs(): number | undefined {
    return this.count === 0 ? undefined : this.mean;
  }

  /** Mean duration of the requests in flight at a random moment, in milliseconds. At least `meanMs`, because long
   * requests are more likely to be in flight. Undefined until the first request has completed. */
  get inFlightMeanMs(): number | undefined {
    return this.count === 0 ? undefined : this.meanSquare / this.mean;
  }

  /** Records the duration of a completed request.
   * @param durationMs Duration in milliseconds. */
  recordDuration(durationMs: number): void {
    this.count += 1;
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / this.count);
    const sample = Math.max(1, durationMs);
    this.mean += weight * (sample - this.mean);
    this.meanSquare += weight * (sample ** 2 - this.meanSquare);
  }
}
