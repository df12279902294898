import { readClock } from "./clock.ts";

/** Cancels a timer. */
export type CancelTimer = () => void;

/** Time source and timers of a component; tests replace it with virtual time. */
export interface Timeline {
  /** Returns monotonic milliseconds. */
  read(): number;
  /** Runs an action repeatedly.
   * @param intervalMs Time between two runs, in milliseconds.
   * @param action The action. */
  every(intervalMs: number, action: () => void): CancelTimer;
  /** Runs an action once, after a delay.
   * @param delayMs The delay in milliseconds.
   * @param action The action. */
  after(delayMs: number, action: () => void): CancelTimer;
}

/** Clock and timers of this process. */
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
