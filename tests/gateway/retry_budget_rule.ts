/** Retry budget of a fleet, by which its retries are judged. */
export interface RetryRule {
  /** Retries allowed per request. */
  ratio: number;
  /** Additional retries allowed per window. */
  extra: number;
  /** Length of the window in milliseconds. */
  windowMs: number;
}

/** The window in which retries come closest to what is allowed, or exceed it the most. */
export interface WorstWindow {
  /** Time at which it begins, in milliseconds. */
  from: number;
  retries: number;
  allowed: number;
}

/** Finds the worst of all windows. Requests are counted in the window, in the one before it or in the one that begins
 * half a window earlier, whichever has most.
 * @param requests Times of the requests, ascending, in milliseconds.
 * @param retries Times at which retries reached an upstream, in milliseconds.
 * @param rule The budget. */
export function findWorstWindow(
  requests: readonly number[],
  retries: readonly number[],
  { ratio, extra, windowMs }: RetryRule,
): WorstWindow {
  const sorted = retries.toSorted((one, other) => one - other);
  const countFrom = (times: readonly number[], from: number) =>
    countBefore(times, from + windowMs) - countBefore(times, from);
  let worst: WorstWindow = { from: 0, retries: 0, allowed: Infinity };
  for (const from of sorted) {
    const counted = Math.max(
      countFrom(requests, from),
      countFrom(requests, from - windowMs),
      countFrom(requests, from - windowMs / 2),
    );
    const allowed = ratio * counted + extra;
    const inWindow = countFrom(sorted, from);
    if (inWindow / allowed > worst.retries / worst.allowed) {
      worst = { from, retries: inWindow, allowed };
    }
  }
  return worst;
}

/** Counts the times before another one, by binary search. */
function countBefore(times: readonly number[], limit: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (times[middle]! < limit) low = middle + 1;
    else high = middle;
  }
  return low;
}
