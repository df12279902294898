/** Tracks the time up to which this process is certain to know everything that was published. */
export class FreshnessTracker {
  private completeUntil = -Infinity;

  private constructor() {}

  /** Creates a tracker for a process that knows nothing yet; its age is infinite. */
  static create(): FreshnessTracker {
    return new FreshnessTracker();
  }

  /** Records that everything published before the given time is known. An earlier time than the recorded one has no
   * effect.
   * @param moment Monotonic milliseconds of this process. */
  confirm(moment: number): void {
    this.completeUntil = Math.max(this.completeUntil, moment);
  }

  /** Returns the age of the known data, in milliseconds.
   * @param now Monotonic milliseconds. */
  getAge(now: number): number {
    return Math.max(0, now - this.completeUntil);
  }
}
