import { performance } from "node:perf_hooks";
import { readClock } from "./clock.ts";

const DEFAULT_TICK_INTERVAL_MS = 50;

/** Detects that this process was paused or its machine suspended, so that no decision is based on stale state. */
export class PauseDetector {
  private lastTick = readClock();
  private lastGapMs = 0;
  private utilization = performance.eventLoopUtilization();
  /** Time for which the process was busy between the last two ticks. */
  private lastBusyMs = 0;
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

  /** Upper bound of the time for which an event that is handled now may have waited, in milliseconds: the process was busy
   * since the last ticks, or paused. */
  get delayMs(): number {
    const sinceTickMs = readClock() - this.lastTick;
    const { active } = performance.eventLoopUtilization(this.utilization);
    const isSoonAfterTick = sinceTickMs < this.tickIntervalMs;
    const busyMs = active + (isSoonAfterTick ? this.lastBusyMs : 0);
    const gapMs = isSoonAfterTick
      ? Math.max(sinceTickMs, this.lastGapMs)
      : sinceTickMs;
    return Math.max(busyMs, gapMs - this.tickIntervalMs, 0);
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
    const { active } = performance.eventLoopUtilization(this.utilization);
    this.lastBusyMs = active;
    this.utilization = performance.eventLoopUtilization();
    if (gap < this.thresholdMs) return;
    this.stale = true;
    this.lastPauseEndedAt = now;
    this.onPause(gap);
  }
}
