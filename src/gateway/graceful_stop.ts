import { getUsableMs } from "../admission/decide_at_stop.ts";
import { readClock } from "../clock/clock.ts";
import { setTimeout as delay } from "node:timers/promises";

/** Time after the start of a graceful stop from which responses close their connections: three times the TTL of an
 * address list. */
const CLOSE_CONNECTIONS_AFTER_MS = 1_500;
/** Time after the start of a graceful stop within which callers stop using the address of the host, in milliseconds: a
 * little less than six times the TTL of an address list. Some callers keep a list for three TTLs, and longer while they
 * can't get another. */
export const CALLERS_LEAVE_WITHIN_MS = 2_880;
/** Minimum time for which a stopping host still accepts requests: seven times the TTL of an address list, because some
 * callers keep it beyond its TTL. */
const MIN_DRAIN_MS = 3_500;
/** Maximum fraction of the time limit by which a stop is taken to have begun before its signal was handled. */
const MAX_DELAY_FRACTION = 0.08;
/** Interval at which a stopping host checks whether all calls have finished. */
const STOP_POLL_INTERVAL_MS = 50;

/** The progress of a graceful stop: whether it has started, and how much of its time is left. */
export class GracefulStop {
  private startedAt: number | undefined;
  private timeLimitMs = Infinity;
  private hasEnded = false;

  private constructor() {}

  /** Creates a graceful stop that has not started. */
  static create(): GracefulStop {
    return new GracefulStop();
  }

  get hasStarted(): boolean {
    return this.startedAt !== undefined;
  }

  /** Time that the stop may take, in milliseconds; infinite before it. */
  get limitMs(): number {
    return this.timeLimitMs;
  }

  /** Whether callers' connections are closed after their responses. */
  get shouldCloseConnections(): boolean {
    return this.getElapsedMs(readClock()) > CLOSE_CONNECTIONS_AFTER_MS;
  }

  /** Remaining time in which calls may finish, in milliseconds; infinite before the stop. */
  get remainingMs(): number {
    if (this.startedAt === undefined) return Infinity;
    return getUsableMs(this.getElapsedMs(readClock()), this.timeLimitMs);
  }

  /** Remaining time until the process must have exited, in milliseconds; infinite before the stop. */
  get exitWithinMs(): number {
    if (this.startedAt === undefined) return Infinity;
    return this.timeLimitMs - (readClock() - this.startedAt);
  }

  /** Returns the time from the start of the stop to a moment, in milliseconds: negative before the start, infinite once
   * the stop has ended.
   * @param at Monotonic milliseconds. */
  getElapsedMs(at: number): number {
    return this.hasEnded ? Infinity : at - (this.startedAt ?? Infinity);
  }

  /** Starts the stop; does nothing if it has already started.
   * @param limitMs Time that the stop may take, in milliseconds.
   * @param signaledAt Monotonic milliseconds at which its signal was handled; now by default.
   * @param delayMs Time for which the signal may have waited before, in milliseconds. */
  start(limitMs: number, signaledAt = readClock(), delayMs = 0): void {
    if (this.startedAt !== undefined) return;
    this.startedAt = signaledAt -
      Math.min(delayMs, limitMs * MAX_DELAY_FRACTION);
    this.timeLimitMs = limitMs;
  }

  /** Ends the stop: no time is left for calls. */
  end(): void {
    this.hasEnded = true;
  }

  /** Waits until callers have had time to move to other hosts and no call is open, or until the usable time is over.
   * The stop must have started.
   * @param countOpenCalls Counts the calls that have not been answered. */
  async waitForOpenCalls(countOpenCalls: () => number): Promise<void> {
    const minDrainEndsAt = this.startedAt! + MIN_DRAIN_MS;
    while (this.remainingMs > 0) {
      const isMinDrainOver = readClock() >= minDrainEndsAt;
      if (isMinDrainOver && countOpenCalls() === 0) break;
      await delay(STOP_POLL_INTERVAL_MS);
    }
  }
}
