/** Time over which the oldest live connection is determined, in milliseconds; it is known for one to two such periods. */
const PERIOD_MS = 500;

/** Evidence that the connections of this host carry data: the age of the oldest one that has lately received a response.
 * If all connections were silenced at once, no connection established before that moment receives anything after it. */
export class ConnectionLiveness {
  private periodEndsAt = -Infinity;
  private oldestInPeriod = Infinity;
  private oldestInPreviousPeriod = Infinity;

  private constructor() {}

  /** Creates liveness without evidence. */
  static create(): ConnectionLiveness {
    return new ConnectionLiveness();
  }

  /** Records that a connection received a response.
   * @param establishedAt Monotonic milliseconds at which the connection was established.
   * @param now Monotonic milliseconds. */
  recordResponse(establishedAt: number, now: number): void {
    this.advance(now);
    this.oldestInPeriod = Math.min(this.oldestInPeriod, establishedAt);
  }

  /** Returns whether a connection that existed at a time has lately received a response, so that connections which were
   * alive then have not been silenced since.
   * @param time Monotonic milliseconds.
   * @param now Monotonic milliseconds. */
  isProvenSince(time: number, now: number): boolean {
    this.advance(now);
    return Math.min(this.oldestInPeriod, this.oldestInPreviousPeriod) <= time;
  }

  private advance(now: number): void {
    if (now < this.periodEndsAt) return;
    const isNextPeriod = now < this.periodEndsAt + PERIOD_MS;
    this.oldestInPreviousPeriod = isNextPeriod ? this.oldestInPeriod : Infinity;
    this.oldestInPeriod = Infinity;
    this.periodEndsAt = now + PERIOD_MS;
  }
}
