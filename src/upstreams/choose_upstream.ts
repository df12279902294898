import type { StartAdmission } from "../admission/start_admission.ts";
import { rankByRendezvous } from "../hashing/rendezvous.ts";
import type { Random } from "../random/random.ts";
import type { LoadCounts } from "./load_counts.ts";
import type { PrefixIndex, SentPart } from "./prefix_index.ts";
import type { Upstream } from "./upstream.ts";

/** Requests above the multiple of the mean that the promise allows. */
const BOUND_EXTRA_REQUESTS = 3;
/** Reading ahead of an engine from which a prompt that none keeps goes to the next in its order, in milliseconds: below
 * half of the objectives of first events, and above what most prompts take. */
const MAX_PREFILL_BACKLOG_MS = 150;
/** What an upstream in another hall costs against one in this, as a part of an upstream's slots. */
const OTHER_HALL_COST = 0.15;

/** What an upstream was chosen by: the prompt is kept there, the prompt's order of engines, or the least cost. */
export type ChoiceBasis = "kept_prompt" | "prompt_order" | "least_cost";

/** An upstream that was chosen, and what decided it. */
export interface UpstreamChoice {
  upstream: Upstream;
  basis: ChoiceBasis;
  /** Requests that an upstream may hold when it gets one more. */
  bound: number;
}

/** What a choice is made from. */
export interface ChoiceOptions {
  /** Upstreams that could run the request and take requests now. */
  candidates: readonly Upstream[];
  /** All upstreams of the service that are there, those that leave too: the bound is a multiple of their mean load. */
  present: readonly Upstream[];
  /** Those it was sent to before. */
  tried: ReadonlySet<string>;
  /** Names of the request's service and route. */
  service: string;
  route: string;
  /** The prompt's parts that other requests share, in order; empty where it shares nothing. */
  sharedParts: readonly SentPart[];
  /** Whether the request can't be sent again once it may have run; it then avoids upstreams that failed lately. */
  isCautious: boolean;
  /** No upstream is to carry more than this multiple of the mean load, and three requests. */
  boundMultiple: number;
  loads: LoadCounts;
  admission: StartAdmission;
  prefixes: PrefixIndex;
  /** Hall of this host. */
  hall: string;
  random: Random;
  /** Monotonic milliseconds. */
  now: number;
}

/** Chooses the upstream for a request, or nothing where none is left.
 * @param options What the choice is made from. */
export function chooseUpstream(
  options: ChoiceOptions,
): UpstreamChoice | undefined {
  const untried = options.candidates.filter((upstream) =>
    !options.tried.has(upstream.id)
  );
  const notEjected = untried.filter((upstream) =>
    !upstream.health.isEjected(options.now)
  );
  const withCapacity = notEjected.filter((upstream) =>
    upstream.availability.hasRoom(options.now)
  );
  const preferred = options.isCautious
    ? withCapacity.filter((upstream) => !upstream.health.isSuspect)
    : withCapacity;
  const usable = [preferred, withCapacity, notEjected, untried].find((list) =>
    list.length > 0
  );
  if (usable === undefined) return undefined;
  const bound = computeBound(usable, options);
  const upstreams = { usable, bound };
  return options.sharedParts.length === 0
    ? chooseLeastCost(upstreams, options)
    : chooseByPrompt(upstreams, options);
}

/** The upstreams that are left to choose from, and the requests that each may hold. */
interface UsableUpstreams {
  usable: readonly Upstream[];
  bound: number;
}

/** An engine that keeps the prompt, else the first in the prompt's order, as long as it may get one more request; where
 * none may, the least cost decides. */
function chooseByPrompt(
  upstreams: UsableUpstreams,
  options: ChoiceOptions,
): UpstreamChoice {
  const { usable, bound } = upstreams;
  const { sharedParts, prefixes, now } = options;
  const lastPart = sharedParts.at(-1)!.name;
  const mayStart = createAdmissionCheck(lastPart, bound, options);
  const isKeeping = (upstream: Upstream) =>
    prefixes.isKept(lastPart, upstream.shortName, now);
  // All are ranked only where none that keeps the prompt has room: that costs a hash for each of them.
  const kept = rankForPart(lastPart, usable.filter(isKeeping)).find(mayStart);
  if (kept) return { upstream: kept, basis: "kept_prompt", bound };
  const others = usable.filter((upstream) => !isKeeping(upstream));
  const placed = findFirstAdmitting(
    rankForPart(lastPart, others),
    mayStart,
    options,
  );
  if (placed) return { upstream: placed, basis: "prompt_order", bound };
  return chooseLeastCost(upstreams, options);
}

/** Requests that an upstream may hold when it gets one more. The mean is the lower one of the service and of the upstreams
 * left to choose from, unless the latter could not hold what they do already. */
function computeBound(
  usable: readonly Upstream[],
  options: ChoiceOptions,
): number {
  const present = options.present.length > 0 ? options.present : usable;
  const usableMean = computeMeanLoad(usable, options);
  const presentMean = computeMeanLoad(present, options);
  const toBound = (mean: number) =>
    options.boundMultiple * mean + BOUND_EXTRA_REQUESTS;
  const bound = toBound(Math.min(usableMean, presentMean));
  return bound >= usableMean ? bound : toBound(usableMean);
}

function computeMeanLoad(
  upstreams: readonly Upstream[],
  { loads, now }: ChoiceOptions,
): number {
  const total = upstreams.reduce(
    (sum, one) => sum + loads.getTotalRequests(one, now),
    0,
  );
  return total / upstreams.length;
}

/** Creates the check whether this host may start a request for a prompt on an upstream. */
function createAdmissionCheck(
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

/** Engines in the order in which a part of a prompt goes to them. */
function rankForPart(part: number, engines: readonly Upstream[]): Upstream[] {
  const byId = new Map(engines.map((engine) => [engine.id, engine]));
  return rankByRendezvous(String(part), [...byId.keys()])
    .map((id) => byId.get(id)!);
}

/** The first engine that is not reading far ahead and may get the request, else the first of the others that may. */
function findFirstAdmitting(
  ranked: readonly Upstream[],
  mayStart: (upstream: Upstream) => boolean,
  { prefixes, now }: ChoiceOptions,
): Upstream | undefined {
  const isReading = (upstream: Upstream) =>
    prefixes.getPrefillBacklogMs(upstream.shortName, now) >=
      MAX_PREFILL_BACKLOG_MS;
  return ranked.find((upstream) =>
    !isReading(upstream) && mayStart(upstream)
  ) ??
    ranked.find((upstream) => isReading(upstream) && mayStart(upstream));
}

/** The upstream of the least cost among those below the bound, else among all. */
function chooseLeastCost(
  { usable, bound }: UsableUpstreams,
  options: ChoiceOptions,
): UpstreamChoice {
  const { loads, now } = options;
  const below = usable.filter((one) =>
    loads.getTotalRequests(one, now) < bound
  );
  const candidates = below.length > 0 ? below : usable;
  const costs = new Map(
    candidates.map((one) => [one, estimateCost(one, options)]),
  );
  const upstream = options.random.shuffle(candidates).reduce((best, one) =>
    costs.get(one)! < costs.get(best)! ? one : best
  );
  return { upstream, basis: "least_cost", bound };
}

/** Expected time of one more request, in units of an unloaded upstream's. */
function estimateCost(upstream: Upstream, options: ChoiceOptions): number {
  const { loads, now } = options;
  const load = loads.getTotalRequests(upstream, now) / upstream.published.slots;
  const distance = upstream.published.hall === options.hall
    ? 0
    : OTHER_HALL_COST;
  return load + distance + upstream.health.rate;
}
