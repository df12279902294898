import { rankByRendezvous } from "../hashing/rendezvous.ts";
import type { ChoiceOptions } from "./choose_upstream.ts";
import type { Upstream } from "./upstream.ts";

/** Creates a predicate that tells whether this host may start a request for a prompt on an upstream.
 * @param part Hash of the deepest shared part of the prompt.
 * @param bound Maximum number of requests on an upstream.
 * @param options Input of the choice. */
export function createAdmissionCheck(
  part: number,
  bound: number,
  options: ChoiceOptions,
): (upstream: Upstream) => boolean {
  const { admission, loads, service, route, now } = options;
  const isPopular = admission.recordRequest(part, now);
  const { countedHosts, countAgeMs } = loads.getCountAges(now);
  return (upstream) => {
    const own = upstream.ownRequests;
    const target = {
      bound,
      own,
      foreign: loads.getTotalRequests(upstream, now) - own,
      countAgeMs,
      otherHosts: countedHosts,
      popularArrivals: upstream.popularArrivals,
    };
    return admission.admits({ service, route, isPopular }, target, now);
  };
}

/** Ranks engines for a prompt part by rendezvous hashing.
 * @param part Hash of the part.
 * @param engines The engines. */
export function rankForPart(
  part: number,
  engines: readonly Upstream[],
): Upstream[] {
  const byId = new Map(engines.map((engine) => [engine.id, engine]));
  return rankByRendezvous(String(part), [...byId.keys()])
    .map((id) => byId.get(id)!);
}
