import {
  endsBeforeStop,
  type RequestTimes,
  STOP_TIME_FRACTION,
} from "../admission/stop_time.ts";
import { readClock } from "../clock/clock.ts";
import { setTimeout as delay } from "node:timers/promises";

/** Time after the start of a graceful stop from which responses close their connections: three times the TTL of an
 * address list. */
const CLOSE_CONNECTIONS_AFTER_MS = 1_500;
/** Minimum time for which a stopping host still accepts requests: seven times the TTL of an address list, because some
 * callers keep it beyond its TTL. */
const MIN_DRAIN_MS = 3_500;
/** Interval at which a stopping host checks whether all calls have finished. */
const STOP_POLL_INTERVAL_MS = 50;

/** The progress of a graceful stop: whether it has started, which requests the host still accepts, and until when. */
export class GracefulStop {
  private startedAt: number | undefined;
  private endsAt = Infinity;

  private constructor() {}

  /** Creates a graceful stop that has not started. */
  static create(): GracefulStop {
    return new GracefulStop();
  }

  get hasStarted(): boolean {
    return this.startedAt !== undefined;
  }

  /** Whether callers' connections are closed after their responses. */
  get shouldCloseConnections(): boolean {
    return this.startedAt !== undefined &&
      readClock() - this.startedAt > CLOSE_CONNECTIONS_AFTER_MS;
  }

  /** Remaining time in which calls may finish, in milliseconds; infinite before the stop. */
  get remainingMs(): number {
    return Math.max(0, this.endsAt - readClock());
  }

  /** Returns the time from the start of the stop to a moment, in milliseconds; negative before the stop.
   * @param at Monotonic milliseconds. */
  getElapsedMs(at: number): number {
    return at - (this.startedAt ?? Infinity);
  }

  /** Starts the stop; does nothing if it has already started.
   * @param limitMs Time that the stop may take, in milliseconds. */
  start(limitMs: number): void {
    if (this.startedAt !== undefined) return;
    this.startedAt = readClock();
    this.endsAt = this.startedAt + limitMs * STOP_TIME_FRACTION;
  }

  /** Whether a call is likely to end before the stop does. A call of a route whose calls take an unknown time is assumed
   * to, as long as callers may have this host in a cached address list.
   * @param times How long the call may take. */
  canFinish(times: RequestTimes): boolean {
    return endsBeforeStop(times, this.remainingMs) ??
      !this.shouldCloseConnections;
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
