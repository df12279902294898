import type { AttemptOutcome } from "./attempt.ts";
import {
  type DispatchProgress,
  type DispatchResult,
  refuse,
} from "./dispatch_progress.ts";

/** The last declined attempt by upstream. */
export type Declines = Map<
  string,
  Extract<AttemptOutcome, { type: "declined" }>
>;

/** Refuses a request after its last candidate upstream.
 * @param progress State of the request.
 * @param declines The last decline of each upstream. */
export function refuseAfterLastUpstream(
  progress: DispatchProgress,
  declines: Declines,
): DispatchResult {
  if (progress.events > 0) {
    return refuse(progress, "stream_broken", progress.lastDetail);
  }
  const reasons = [...declines.values()].map(({ reason }) => reason);
  if (reasons.includes("share")) {
    return refuse(
      progress,
      "too_many_requests",
      "the customer's queue is full",
    );
  }
  if (reasons.includes("full")) {
    const detail = "all candidates are full";
    return refuse(progress, "overloaded", detail, getShortestBackoff(declines));
  }
  return refuse(
    progress,
    "no_upstream",
    progress.lastDetail || "no owner answered",
  );
}

/** Returns the shortest backoff of the full upstreams, in milliseconds; undefined if one of them specified none. */
function getShortestBackoff(declines: Declines): number | undefined {
  const full = [...declines.values()].filter(({ reason }) => reason === "full");
  const shortest = Math.min(...full.map(({ backoffMs }) => backoffMs ?? 0));
  return shortest > 0 ? shortest : undefined;
}
