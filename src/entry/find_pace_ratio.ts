import type { DispatchProgress } from "./dispatch_progress.ts";

/** Returns the median pace of a model's streams relative to their usual one; undefined if none is known.
 * @param dispatches Requests that are under way.
 * @param model Name of the model.
 * @param now Monotonic milliseconds. */
export function findPaceRatio(
  dispatches: Iterable<DispatchProgress>,
  model: string,
  now: number,
): number | undefined {
  const ratios: number[] = [];
  for (const { request: { requirement }, pace } of dispatches) {
    if (requirement.role !== "engine" || requirement.model !== model) continue;
    const ratio = pace.getPaceRatio(now);
    if (ratio !== undefined) ratios.push(ratio);
  }
  return ratios.sort((a, b) => a - b)[Math.floor(ratios.length / 2)];
}
