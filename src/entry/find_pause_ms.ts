import type { DispatchProgress } from "./dispatch_progress.ts";

/** Returns the median of the recent pauses between events of a model's streams, in milliseconds; undefined if none is
 * known.
 * @param dispatches Requests that are under way.
 * @param model Name of the model.
 * @param now Monotonic milliseconds. */
export function findPauseMs(
  dispatches: Iterable<DispatchProgress>,
  model: string,
  now: number,
): number | undefined {
  const pauses: number[] = [];
  for (const { request: { requirement }, pace } of dispatches) {
    if (requirement.role !== "engine" || requirement.model !== model) continue;
    const pauseMs = pace.getRecentPauseMs(now);
    if (pauseMs !== undefined) pauses.push(pauseMs);
  }
  return pauses.sort((a, b) => a - b)[Math.floor(pauses.length / 2)];
}
