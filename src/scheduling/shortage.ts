/** Time without a request that could not start at once after which a shortage has ended, in milliseconds. */
const GAP_MS = 1_000;

/** How long room at a service has been short. */
export interface ShortageTimes {
  /** Time for which some requests could not start at once, in milliseconds; 0 if all could lately. */
  shortMs: number;
  /** Time for which no request could start at once, in milliseconds; 0 if the last one could. */
  fullMs: number;
}

/** Tracks how long room at a service has been short, from the decisions of one host. */
export class Shortage {
  private shortSince = 0;
  private fullSince: number | undefined;
  private lastShortAt = -Infinity;

  private constructor() {}

  /** Creates a tracker without a shortage. */
  static create(): Shortage {
    return new Shortage();
  }

  /** Records that a request could start at once. */
  recordStart(): void {
    this.fullSince = undefined;
  }

  /** Records that a request could not start at once.
   * @param now Monotonic milliseconds. */
  recordShort(now: number): void {
    if (this.isOver(now)) this.shortSince = this.fullSince = now;
    this.fullSince ??= now;
    this.lastShortAt = now;
  }

  /** Returns how long room has been short.
   * @param now Monotonic milliseconds. */
  getTimes(now: number): ShortageTimes {
    if (this.isOver(now)) return { shortMs: 0, fullMs: 0 };
    const fullMs = this.fullSince === undefined ? 0 : now - this.fullSince;
    return { shortMs: now - this.shortSince, fullMs };
  }

  private isOver(now: number): boolean {
    return now - this.lastShortAt > GAP_MS;
  }
}
