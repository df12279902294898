import { readClock } from "../clock/clock.ts";
import { setTimeout as delay } from "node:timers/promises";

/** Time after the start of a graceful stop from which responses close their connections: three times the TTL of an
 * address list. */
const CLOSE_CONNECTIONS_AFTER_MS = 1_500;
/** Minimum time for which a stopping host still accepts requests: seven times the TTL of an address list, because some
 * callers keep it beyond its TTL. */
const MIN_DRAIN_MS = 3_500;
/** Fraction of the stop timeout in which calls may finish; the rest is for closing and for the exit of the process. */
const STOP_TIME_FRACTION = 0.93;
/** Interval at which a stopping host checks whether all calls have finished. */
const STOP_POLL_INTERVAL_MS = 50;

/** The progress of a graceful stop: whether it has started, and how long the host still accepts requests. */
export class GracefulStop {
  private startedAt: number | undefined;

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

  /** Starts the stop; does nothing if it has already started. */
  start(): void {
    this.startedAt ??= readClock();
  }

  /** Waits until callers have had time to move to other hosts and no call is open, or until the usable time is over.
   * @param limitMs Time that the stop may take, in milliseconds.
   * @param countOpenCalls Counts the calls that have not been answered. */
  async waitForOpenCalls(
    limitMs: number,
    countOpenCalls: () => number,
  ): Promise<void> {
    const startedAt = this.startedAt ?? readClock();
    const endsAt = startedAt + limitMs * STOP_TIME_FRACTION;
    const minDrainEndsAt = Math.min(startedAt + MIN_DRAIN_MS, endsAt);
    while (readClock() < endsAt) {
      const isMinDrainOver = readClock() >= minDrainEndsAt;
      if (isMinDrainOver && countOpenCalls() === 0) break;
      await delay(STOP_POLL_INTERVAL_MS);
    }
  }
}
