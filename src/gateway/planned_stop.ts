import { readClock } from "../clock/clock.ts";
import { setTimeout as delay } from "node:timers/promises";

/** Time from the start of a planned stop after which answers close their connections, in milliseconds: three lifetimes of
 * an answer with addresses. */
const CLOSE_CONNECTIONS_AFTER_MS = 1_500;
/** Time for which a stopping host still takes requests, in milliseconds: seven lifetimes of an answer with addresses,
 * for some callers keep it beyond its lifetime. */
const MIN_DRAIN_MS = 3_500;
/** Part of the time of a planned stop that may be used; the rest is for closing and for the end of the process. */
const STOP_TIME_FRACTION = 0.93;
/** Interval at which a stopping host looks whether its work is done, in milliseconds. */
const STOP_POLL_INTERVAL_MS = 50;

/** The course of a planned stop: whether it has started, and how long the host still takes requests. */
export class GracefulStop {
  private startedAt: number | undefined;

  private constructor() {}

  /** Creates a stop that has not started. */
  static create(): GracefulStop {
    return new GracefulStop();
  }

  /** Whether the stop has started. */
  get hasStarted(): boolean {
    return this.startedAt !== undefined;
  }

  /** Whether connections of callers are to be closed after their answer. */
  get shouldCloseConnections(): boolean {
    return this.startedAt !== undefined &&
      readClock() - this.startedAt > CLOSE_CONNECTIONS_AFTER_MS;
  }

  /** Starts the stop, where it has not started. */
  start(): void {
    this.startedAt ??= readClock();
  }

  /** Waits until callers use other hosts and no call is open, or until the time is used up.
   * @param limitMs Time that the stop may take, in milliseconds.
   * @param countOpenCalls Calls that have not been answered. */
  async waitForOpenCalls(
    limitMs: number,
    countOpenCalls: () => number,
  ): Promise<void> {
    const startedAt = this.startedAt ?? readClock();
    const endsAt = startedAt + limitMs * STOP_TIME_FRACTION;
    const lingersUntil = Math.min(startedAt + MIN_DRAIN_MS, endsAt);
    while (readClock() < endsAt) {
      const isLate = readClock() >= lingersUntil;
      if (isLate && countOpenCalls() === 0) break;
      await delay(STOP_POLL_INTERVAL_MS);
    }
  }
}
