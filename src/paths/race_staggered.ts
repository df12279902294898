import type { Timeline } from "../clock/timeline.ts";
import { DialError } from "../network/dial_error.ts";

/** Options of {@link raceStaggered}. */
export interface StaggeredRaceOptions<Result> {
  /** Attempts, in the order in which they are started. */
  attempts: readonly (() => Promise<Result>)[];
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
 * @throws The error of the first attempt if all fail, or a {@link DialError} after the timeout. */
export function raceStaggered<Result>(
  options: StaggeredRaceOptions<Result>,
): Promise<Result> {
  const { attempts, staggerMs, timeoutMs, onLateResult, timeline } = options;
  return new Promise((resolve, reject) => {
    const errors = new Map<number, unknown>();
    let started = 0;
    let isSettled = false;
    let cancelStagger = () => {};
    const settle = (end: () => void) => {
      isSettled = true;
      cancelStagger();
      cancelTimeout();
      end();
    };
    const startNext = () => {
      cancelStagger();
      if (isSettled || started >= attempts.length) return;
      const index = started++;
      cancelStagger = timeline.after(staggerMs, startNext);
      attempts[index]!().then(
        (result) => {
          if (isSettled) onLateResult(result);
          else settle(() => resolve(result));
        },
        (error: unknown) => {
          errors.set(index, error);
          if (isSettled) return;
          if (errors.size === attempts.length) {
            settle(() => reject(errors.get(0)));
          } else startNext();
        },
      );
    };
    const fail = () =>
      settle(() => reject(DialError.create("timed_out", "no path in time")));
    const cancelTimeout = timeline.after(timeoutMs, fail);
    if (attempts.length === 0) fail();
    startNext();
  });
}
