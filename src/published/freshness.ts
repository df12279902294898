/** The moment up to which this process is sure to know everything that was published. */
export class Freshness {
  private knownUpTo = -Infinity;

  private constructor() {}

  /** Creates a freshness of never. */
  static create(): Freshness {
    return new Freshness();
  }

  /** Records that everything published before a moment is known; earlier moments than the known one change nothing.
   * @param moment Monotonic milliseconds of this process. */
  confirm(moment: number): void {
    this.knownUpTo = Math.max(this.knownUpTo, moment);
  }

  /** Age of what is known, in milliseconds.
   * @param now Monotonic milliseconds. */
  getAge(now: number): number {
    return Math.max(0, now - this.knownUpTo);
  }
}
