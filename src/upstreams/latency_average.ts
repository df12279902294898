/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.15;

/** A moving average of times, in milliseconds. */
export class LatencyAverage {
  private average: number | undefined;

  private constructor() {}

  /** Creates an average without samples. */
  static create(): LatencyAverage {
    return new LatencyAverage();
  }

  /** The average, or nothing before the first sample. */
  get value(): number | undefined {
    return this.average;
  }

  /** Adds a sample.
   * @param milliseconds The sample. */
  add(milliseconds: number): void {
    this.average = this.average === undefined
      ? milliseconds
      : this.average + SAMPLE_WEIGHT * (milliseconds - this.average);
  }
}
