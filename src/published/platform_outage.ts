/** Time for which an observation that the platform does not respond counts, in milliseconds: longer than the interval of
 * the reads that observe it. */
const OBSERVATION_TTL_MS = 1_500;

/** Tracks whether the platform is known not to respond to any host that this one hears. An old publication alone does not
 * show that: this host may have been paused, or late. */
export class PlatformOutage {
  private observedAt = -Infinity;
  private failedAt = -Infinity;

  private constructor() {}

  /** Creates a tracker without observations. */
  static create(): PlatformOutage {
    return new PlatformOutage();
  }

  /** Records that the platform did not respond to this host, or to one that knows no less.
   * @param moment Monotonic milliseconds at which that was so. */
  recordFailure(moment: number): void {
    this.observedAt = Math.max(this.observedAt, moment);
    this.failedAt = Math.max(this.failedAt, moment);
  }

  /** Records that the platform has responded to a host. */
  recordResponse(): void {
    this.observedAt = -Infinity;
  }

  /** Whether the platform did not respond after a moment, even if it does now.
   * @param moment Monotonic milliseconds. */
  hasFailedSince(moment: number): boolean {
    return this.failedAt > moment;
  }

  /** Whether the platform did not respond a short time ago.
   * @param now Monotonic milliseconds. */
  isObserved(now: number): boolean {
    return now - this.observedAt < OBSERVATION_TTL_MS;
  }
}
