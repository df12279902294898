import type { ServiceLoad } from "../scheduling/service_room.ts";
import type { LoadCounts } from "../upstreams/load_counts.ts";
import type { Upstream } from "../upstreams/upstream.ts";

/** Maximum age at which reported waiting requests are used, in milliseconds. */
const MAX_REPORT_AGE_MS = 400;

/** Measures the load of a service's upstreams that may get requests.
 * @param upstreams The upstreams that accept requests.
 * @param loads Numbers of requests on each upstream.
 * @param now Monotonic milliseconds. */
export function measureServiceLoad(
  upstreams: readonly Upstream[],
  loads: LoadCounts,
  now: number,
): ServiceLoad {
  const load = { upstreams: 0, waitingUpstreams: 0, slots: 0, requests: 0 };
  for (const upstream of upstreams) {
    if (upstream.path.isUnreachable || upstream.health.isEjected(now)) continue;
    const { reported, published: { slots } } = upstream;
    const requests = loads.getTotalRequests(upstream, now);
    const hasWaiting = requests > slots ||
      (reported?.waiting ?? 0) > 0 && now - reported!.at <= MAX_REPORT_AGE_MS;
    load.upstreams += 1;
    load.waitingUpstreams += Number(hasWaiting);
    load.slots += slots;
    load.requests += requests;
  }
  return load;
}
