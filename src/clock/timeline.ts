import { readClock } from "./clock.ts";

/** Stops a timer. */
export type StopTimer = () => void;

/** Where a task reads the time and sets its timers. */
export interface Timeline {
  /** Monotonic milliseconds. */
  read(): number;
  /** Runs an action at an interval.
   * @param intervalMs The interval in milliseconds.
   * @param action The action. */
  every(intervalMs: number, action: () => void): StopTimer;
  /** Runs an action once.
   * @param delayMs Time until then in milliseconds.
   * @param action The action. */
  after(delayMs: number, action: () => void): StopTimer;
}

/** The time and the timers of this process. */
export const processTimeline: Timeline = {
  read: readClock,
  every: (intervalMs, action) => {
    const timer = setInterval(action, intervalMs);
    return () => clearInterval(timer);
  },
  after: (delayMs, action) => {
    const timer = setTimeout(action, delayMs);
    return () => clearTimeout(timer);
  },
};
