import { readClock } from "./clock.ts";
const TICK_MS = 50;

/** Notices that this process did not run for a while, so that nothing is decided on old beliefs. */
export class PauseGuard {
  private lastTick = readClock();
  private stale = false;
  private readonly timer: NodeJS.Timeout;

  private constructor(
    private readonly thresholdMs: number,
    private readonly onPause: (gapMs: number) => void,
  ) {
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  /** Creates a guard.
   * @param thresholdMs Gap between two ticks that counts as a pause.
   * @param onPause Called once for each pause, with the gap in milliseconds. */
  static create(
    thresholdMs: number,
    onPause: (gapMs: number) => void,
  ): PauseGuard {
    return new PauseGuard(thresholdMs, onPause);
  }

  /** Whether the process has run without a pause since it last heard from the outside. */
  isFresh(): boolean {
    this.tick();
    return !this.stale;
  }

  /** Declares beliefs fresh again, after something was heard from outside. */
  markHeard(): void {
    this.tick();
    this.stale = false;
  }

  /** Stops the timer. */
  close(): void {
    clearInterval(this.timer);
  }

  private tick(): void {
    const now = readClock();
    const gap = now - this.lastTick;
    this.lastTick = now;
    if (gap < this.thresholdMs) return;
    this.stale = true;
    this.onPause(gap);
  }
}
