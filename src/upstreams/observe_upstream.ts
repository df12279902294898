import type { UpstreamObservation } from "../scheduling/upstream_observation.ts";
import type { LoadCounts } from "./load_counts.ts";
import type { PrefixIndex } from "./prefix_index.ts";
import type { Upstream, UpstreamReport } from "./upstream.ts";

/** Knowledge of this host about the load of upstreams. */
export interface UpstreamKnowledge {
  loads: LoadCounts;
  prefixes: PrefixIndex;
  /** Monotonic milliseconds. */
  now: number;
}

/** Returns what this host knows of the load of an upstream.
 * @param upstream The upstream.
 * @param knowledge Knowledge of this host. */
export function observeUpstream(
  upstream: Upstream,
  { loads, prefixes, now }: UpstreamKnowledge,
): UpstreamObservation {
  const { instanceHash, ownRequests, published, reported } = upstream;
  return {
    instanceHash,
    slots: published.slots,
    ownRequests,
    foreignRequests: loads.getForeignRequests(upstream, now),
    countAgeMs: loads.getMeanCountAgeMs(now),
    report: reported && toObservedReport(reported, now),
    prefillBacklogMs: prefixes.getPrefillBacklogMs(instanceHash, now),
  };
}

function toObservedReport(
  { requests, waiting = 0, slowdown, at }: UpstreamReport,
  now: number,
) {
  return { running: requests - waiting, waiting, slowdown, ageMs: now - at };
}
