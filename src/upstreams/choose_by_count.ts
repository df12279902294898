import type {
  ChoiceOptions,
  UpstreamChoice,
  UsableUpstreams,
} from "./choose_upstream.ts";
import { createAdmissionCheck, rankForPart } from "./prompt_admission.ts";
import type { Upstream } from "./upstream.ts";

/** Prefill backlog of an engine, in milliseconds, from which a prompt that no engine has cached goes to the next engine
 * in the prompt's order. Below half of the time-to-first-event objectives, and above the prefill time of most
 * prompts. */
const MAX_PREFILL_BACKLOG_MS = 150;
/** Additional cost of an upstream in another hall, as a fraction of the upstream's slots. */
const OTHER_HALL_COST = 0.15;

/** Chooses an upstream by the number of requests on each.
 * @param upstreams The upstreams to choose from.
 * @param options Input of the choice. */
export function chooseByCount(
  upstreams: UsableUpstreams,
  options: ChoiceOptions,
): UpstreamChoice {
  return options.sharedParts.length === 0
    ? chooseLeastCost(upstreams, options)
    : chooseByPrompt(upstreams, options);
}

/** Chooses an engine that has the prompt cached, otherwise the first engine in the prompt's order, provided that one
 * more request is admitted there. If no engine admits it, chooses by cost. */
function chooseByPrompt(
  upstreams: UsableUpstreams,
  options: ChoiceOptions,
): UpstreamChoice {
  const { usable, bound } = upstreams;
  const { sharedParts, prefixes, now } = options;
  const lastPart = sharedParts.at(-1)!.name;
  const mayStart = createAdmissionCheck(lastPart, bound, options);
  const hasCached = (upstream: Upstream) =>
    prefixes.isCached(lastPart, upstream.instanceHash, now);
  // All engines are ranked only if none that has the prompt cached admits the request: ranking hashes each engine.
  const cached = rankForPart(lastPart, usable.filter(hasCached)).find(mayStart);
  if (cached) return { upstream: cached, basis: "kept_prompt", bound };
  const remaining = usable.filter((upstream) => !hasCached(upstream));
  const uncached = findFirstAdmitting(
    rankForPart(lastPart, remaining),
    mayStart,
    options,
  );
  if (uncached) return { upstream: uncached, basis: "prompt_order", bound };
  return chooseLeastCost(upstreams, options);
}

/** Finds the first engine that admits the request and has a small prefill backlog, otherwise the first other one that
 * admits it. */
function findFirstAdmitting(
  ranked: readonly Upstream[],
  mayStart: (upstream: Upstream) => boolean,
  { prefixes, now }: ChoiceOptions,
): Upstream | undefined {
  const isBacklogged = (upstream: Upstream) =>
    prefixes.getPrefillBacklogMs(upstream.instanceHash, now) >=
      MAX_PREFILL_BACKLOG_MS;
  return ranked.find((upstream) =>
    !isBacklogged(upstream) && mayStart(upstream)
  ) ??
    ranked.find((upstream) => isBacklogged(upstream) && mayStart(upstream));
}

/** Chooses the upstream with the lowest cost among those below the bound, or among all if none is below it. */
function chooseLeastCost(
  { usable, bound }: UsableUpstreams,
  options: ChoiceOptions,
): UpstreamChoice {
  const { loads, now } = options;
  const below = usable.filter((upstream) =>
    loads.getTotalRequests(upstream, now) < bound
  );
  const candidates = below.length > 0 ? below : usable;
  const costs = new Map(
    candidates.map((upstream) => [upstream, estimateCost(upstream, options)]),
  );
  const cheapest = options.random.shuffle(candidates).reduce((best, upstream) =>
    costs.get(upstream)! < costs.get(best)! ? upstream : best
  );
  return { upstream: cheapest, basis: "least_cost", bound };
}

/** Estimates the time of one more request, relative to its time on an upstream without load. */
function estimateCost(upstream: Upstream, options: ChoiceOptions): number {
  const { loads, now } = options;
  const load = loads.getTotalRequests(upstream, now) / upstream.published.slots;
  const distance = upstream.published.hall === options.hall
    ? 0
    : OTHER_HALL_COST;
  return load + distance + upstream.health.rate;
}
