/** Fraction of the time limit of a graceful stop in which requests may finish; the rest is for closing and for the exit of
 * the process. */
export const STOP_TIME_FRACTION = 0.93;

/** How long a request may take. */
export interface RequestTimes {
  /** Time within which nearly all requests of its kind are answered, in milliseconds; undefined if that is not known. */
  longMs: number | undefined;
  /** Time until its deadline, in milliseconds. */
  deadlineMs: number;
}

/** Whether a request is likely to end before a graceful stop does; undefined if nothing is known about its duration.
 * @param times How long the request may take.
 * @param remainingMs Time that is left of the stop, in milliseconds. */
export function endsBeforeStop(
  { longMs, deadlineMs }: RequestTimes,
  remainingMs: number,
): boolean | undefined {
  if (deadlineMs <= remainingMs) return true;
  return longMs === undefined ? undefined : longMs <= remainingMs;
}
