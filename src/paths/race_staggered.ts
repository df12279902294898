import type { Timeline } from "../clock/timeline.ts";
import { DialError } from "../network/dial_error.ts";

/** Options of {@link raceStaggered}. */
export interface StaggeredRaceOptions<Result> {
  /** Returns the next attempt, chosen when it is about to start; undefined if there is none. */
  getNextAttempt: () => (() => Promise<Result>) | undefined;
  /** Time after the start of an attempt until the next one starts, in milliseconds; it starts at once if one fails. */
  staggerMs: number;
  /** Time after which the race fails, in milliseconds. */
  timeoutMs: number;
  /** Called with each result after the first. */
  onLateResult: (result: Result) => void;
  timeline: Timeline;
}

/** Starts attempts one after the other and resolves with the first result.
 * @param options The attempts and their timing.
 * @throws The error of the last attempt if all fail, or a {@link DialError} after the timeout. */
export function raceStaggered<Result>(
  options: StaggeredRaceOptions<Result>,
): Promise<Result> {
  const { getNextAttempt, staggerMs, timeoutMs, timeline } = options;
  return new Promise((resolve, reject) => {
    let running = 0;
    let isSettled = false;
    let cancelStagger = () => {};
    let cancelTimeout = () => {};
    const settle = (end: () => void) => {
      isSettled = true;
      cancelStagger();
      cancelTimeout();
      end();
    };
    const handleResult = (result: Result) => {
      if (isSettled) options.onLateResult(result);
      else settle(() => resolve(result));
    };
    const handleError = (error: unknown) => {
      running -= 1;
      if (isSettled) return;
      startNext();
      if (running === 0) settle(() => reject(error));
    };
    const startNext = () => {
      cancelStagger();
      if (isSettled) return;
      const attempt = getNextAttempt();
      if (!attempt) return;
      running += 1;
      cancelStagger = timeline.after(staggerMs, startNext);
      attempt().then(handleResult, handleError);
    };
    const fail = () =>
      settle(() => reject(DialError.create("timed_out", "no path in time")));
    cancelTimeout = timeline.after(timeoutMs, fail);
    startNext();
    if (running === 0) fail();
  });
}
