import type { AdmissionController } from "../admission/admission_controller.ts";
import type { Random } from "../random/random.ts";
import type { PlacementTerms } from "../scheduling/choose_by_time.ts";
import type {
  EstimateBasis,
  ExpectedTimes,
} from "../scheduling/expected_time.ts";
import type { SchedulingBasis } from "../scheduling/scheduling_mode.ts";
import type { TimeEstimate } from "../scheduling/time_estimate.ts";
import { chooseByCount } from "./choose_by_count.ts";
import { chooseByExpectedTime } from "./choose_by_expected_time.ts";
import type { LoadCounts } from "./load_counts.ts";
import type { HashedPromptPart, PrefixIndex } from "./prefix_index.ts";
import type { Upstream } from "./upstream.ts";

/** Requests that the load bound allows beyond the multiple of the mean load. */
const BOUND_EXTRA_REQUESTS = 3;
/** Basis of a choice: the prompt is cached there, the prompt's rendezvous order of engines, the lowest cost by the
 * number of requests, or the lowest cost by time. */
export type ChoiceBasis =
  | "kept_prompt"
  | "prompt_order"
  | "least_cost"
  | "least_time";

/** A chosen upstream and the basis of the choice. */
export interface UpstreamChoice {
  upstream: Upstream;
  basis: ChoiceBasis;
  /** Maximum number of requests on an upstream, including the one to be added. */
  bound: number;
  /** Expected times of the request there; undefined if the choice is by count. */
  estimate?: TimeEstimate;
  /** What the estimate is based on; undefined if the choice is by count. */
  estimateBasis?: EstimateBasis;
}

/** Input of a choice. */
export interface ChoiceOptions {
  /** Upstreams that can run the request and accept requests now. */
  candidates: readonly Upstream[];
  /** All reachable upstreams of the service, including leaving ones; the bound is a multiple of their mean load. */
  reachable: readonly Upstream[];
  /** Ids of the upstreams that the request was already sent to. */
  triedIds: ReadonlySet<string>;
  /** Name of the request's service. */
  service: string;
  /** Name of the request's route. */
  route: string;
  /** Parts of the prompt that are shared with other requests, in order; empty if none are. */
  sharedParts: readonly HashedPromptPart[];
  /** Whether to avoid upstreams that failed recently, because the request can't be sent again once it may have run. */
  avoidsSuspects: boolean;
  /** Multiple of the mean load that an upstream may carry; three further requests are allowed on top. */
  boundMultiple: number;
  loads: LoadCounts;
  admission: AdmissionController;
  prefixes: PrefixIndex;
  /** Hall of this host. */
  hall: string;
  /** What a choice by time depends on; undefined if the choice is by count. */
  timing?: ChoiceTiming;
  random: Random;
  /** Monotonic milliseconds. */
  now: number;
}

/** What a choice by time depends on beside the upstreams. */
export interface ChoiceTiming {
  times: ExpectedTimes;
  /** Terms of the request's route. */
  terms: PlacementTerms;
  isStream: boolean;
  /** Whether engines of the service can fetch cached prompt parts from each other. */
  canFetch: boolean;
}

/** The upstreams that are left to choose from, and the requests that each may hold. */
export interface UsableUpstreams {
  usable: readonly Upstream[];
  bound: number;
}

/** Chooses one of the usable upstreams. */
export type ChoiceHandler = (
  upstreams: UsableUpstreams,
  options: ChoiceOptions,
) => UpstreamChoice;

const HANDLERS: Readonly<Record<SchedulingBasis, ChoiceHandler>> = {
  count: chooseByCount,
  time: chooseByExpectedTime,
};

/** Chooses the upstream for a request; undefined if none is left.
 * @param options Input of the choice. */
export function chooseUpstream(
  options: ChoiceOptions,
): UpstreamChoice | undefined {
  const untried = options.candidates.filter((upstream) =>
    !options.triedIds.has(upstream.id)
  );
  const notEjected = untried.filter((upstream) =>
    !upstream.health.isEjected(options.now)
  );
  const withCapacity = notEjected.filter((upstream) =>
    upstream.availability.hasCapacity(options.now)
  );
  const preferred = options.avoidsSuspects
    ? withCapacity.filter((upstream) => !upstream.health.isSuspect(options.now))
    : withCapacity;
  const usable = [preferred, withCapacity, notEjected, untried].find((list) =>
    list.length > 0
  );
  if (usable === undefined) return undefined;
  const bound = computeBound(usable, options);
  const basis = options.timing ? "time" : "count";
  return HANDLERS[basis]({ usable, bound }, options);
}

/** Computes the maximum number of requests on an upstream, including the one to be added. Uses the lower one of the
 * mean loads of the service and of the usable upstreams, unless the usable upstreams could not hold their current load
 * under that bound. */
function computeBound(
  usable: readonly Upstream[],
  options: ChoiceOptions,
): number {
  const reachable = options.reachable.length > 0 ? options.reachable : usable;
  const usableMean = computeMeanLoad(usable, options);
  const reachableMean = computeMeanLoad(reachable, options);
  const toBound = (mean: number) =>
    options.boundMultiple * mean + BOUND_EXTRA_REQUESTS;
  const bound = toBound(Math.min(usableMean, reachableMean));
  return bound >= usableMean ? bound : toBound(usableMean);
}

function computeMeanLoad(
  upstreams: readonly Upstream[],
  { loads, now }: ChoiceOptions,
): number {
  const total = upstreams.reduce(
    (sum, upstream) => sum + loads.getTotalRequests(upstream, now),
    0,
  );
  return total / upstreams.length;
}
