/** Weight of the latest pause in the recent pause. */
const RECENT_WEIGHT = 0.2;
/** Number of pauses from which the recent pause is known. */
const MIN_PAUSES = 3;

/** The pauses between the events of one stream. */
export class StreamPace {
  private firstAt: number | undefined;
  private lastAt = 0;
  private recentMs: number | undefined;
  private pauseCount = 0;

  private constructor() {}

  /** Creates the pace of a stream without events. */
  static create(): StreamPace {
    return new StreamPace();
  }

  /** Number of pauses so far. */
  get pauses(): number {
    return this.pauseCount;
  }

  /** Mean length of the pauses so far, in milliseconds; undefined if there were none. */
  get meanPauseMs(): number | undefined {
    if (this.firstAt === undefined || this.pauseCount === 0) return undefined;
    return (this.lastAt - this.firstAt) / this.pauseCount;
  }

  /** Records events that have arrived together.
   * @param count Their number.
   * @param now Monotonic milliseconds. */
  recordEvents(count: number, now: number): void {
    if (this.firstAt === undefined) {
      this.firstAt = now;
      this.lastAt = now;
      return;
    }
    const pauseMs = (now - this.lastAt) / count;
    this.recentMs ??= pauseMs;
    this.recentMs += RECENT_WEIGHT * (pauseMs - this.recentMs);
    this.pauseCount += count;
    this.lastAt = now;
  }

  /** Returns the recent length of the pauses, including the one in progress if it is longer, relative to the mean length;
   * undefined if too few are known.
   * @param now Monotonic milliseconds. */
  getPaceRatio(now: number): number | undefined {
    const { meanPauseMs, recentMs, pauseCount } = this;
    if (recentMs === undefined || pauseCount < MIN_PAUSES) return undefined;
    if (!meanPauseMs) return undefined;
    return Math.max(recentMs, now - this.lastAt) / meanPauseMs;
  }
}
