import { readClock } from "./clock.ts";

const DEFAULT_TICK_INTERVAL_MS = 50;
/** Time since a tick within which an event is taken to be handled in the same turn of the event loop, in milliseconds. */
const SAME_TURN_MS = 20;

/** Detects that this process was paused or its machine suspended, so that no decision is based on stale state. */
export class PauseDetector {
  private lastTick = readClock();
  private lastGapMs = 0;
  private stale = false;
  private lastPauseEndedAt = -Infinity;
  private readonly timer: NodeJS.Timeout;

  private constructor(
    private readonly thresholdMs: number,
    private readonly onPause: (gapMs: number) => void,
    private readonly tickIntervalMs: number,
  ) {
    this.timer = setInterval(() => this.tick(), tickIntervalMs);
  }

  /** Creates a detector and starts its timer.
   * @param thresholdMs Smallest gap between two ticks that counts as a pause, in milliseconds.
   * @param onPause Called once for each pause, with the gap in milliseconds.
   * @param tickIntervalMs Interval of the ticks, in milliseconds. */
  static create(
    thresholdMs: number,
    onPause: (gapMs: number) => void,
    tickIntervalMs = DEFAULT_TICK_INTERVAL_MS,
  ): PauseDetector {
    return new PauseDetector(thresholdMs, onPause, tickIntervalMs);
  }

  /** Whether the process has run without a pause since its state was last marked fresh. */
  isFresh(): boolean {
    this.tick();
    return !this.stale;
  }

  /** Whether a pause has ended recently.
   * @param durationMs Time since its end, in milliseconds. */
  hasPausedWithin(durationMs: number): boolean {
    this.tick();
    return readClock() - this.lastPauseEndedAt < durationMs;
  }

  /** Marks state as fresh again, for instance after a response from a peer. */
  markFresh(): void {
    this.tick();
    this.stale = false;
  }

  /** Time for which events that are handled now may have waited because the process was busy or paused, in milliseconds.
   * Delays shorter than the interval of the ticks may be missed. */
  get delayMs(): number {
    const sinceTickMs = readClock() - this.lastTick;
    const gapMs = sinceTickMs < SAME_TURN_MS ? this.lastGapMs : sinceTickMs;
    return Math.max(0, gapMs - this.tickIntervalMs);
  }

  /** Stops the timer. */
  close(): void {
    clearInterval(this.timer);
  }

  private tick(): void {
    const now = readClock();
    const gap = now - this.lastTick;
    this.lastTick = now;
    this.lastGapMs = gap;
    if (gap < this.thresholdMs) return;
    this.stale = true;
    this.lastPauseEndedAt = now;
    this.onPause(gap);
  }
}
