import { chooseByTime, computeCostMs } from "../scheduling/choose_by_time.ts";
import type { EstimateBasis } from "../scheduling/expected_time.ts";
import type { TimeEstimate } from "../scheduling/time_estimate.ts";
import type { RequestWork } from "../scheduling/request_work.ts";
import type {
  ChoiceBasis,
  ChoiceOptions,
  ChoiceTiming,
  UpstreamChoice,
  UsableUpstreams,
} from "./choose_upstream.ts";
import { observeUpstream } from "./observe_upstream.ts";
import { createAdmissionCheck, rankForPart } from "./prompt_admission.ts";
import { type HashedPromptPart, PREFILL_MS_PER_TOKEN } from "./prefix_index.ts";
import type { Upstream } from "./upstream.ts";

/** Number of engines in a prompt's order between which a request chooses if no engine has the prompt cached. */
const PROMPT_ORDER_CHOICES = 3;

/** An upstream with the expected times and the cost of the request there. */
interface PricedUpstream {
  upstream: Upstream;
  estimate: TimeEstimate;
  estimateBasis: EstimateBasis;
  costMs: number;
}

/** Chooses an upstream by the time that the request takes there and costs others.
 * @param upstreams The upstreams to choose from.
 * @param options Input of the choice. */
export function chooseByExpectedTime(
  upstreams: UsableUpstreams,
  options: ChoiceOptions,
): UpstreamChoice {
  return options.sharedParts.length === 0
    ? chooseLeastTime(upstreams, options)
    : chooseForPrompt(upstreams, options);
}

/** Chooses an engine that has the prompt cached, unless waiting there takes longer than a prefill elsewhere. Otherwise
 * chooses between the first engines in the prompt's order that admit it. If none does, chooses by cost alone. */
function chooseForPrompt(
  upstreams: UsableUpstreams,
  options: ChoiceOptions,
): UpstreamChoice {
  const { usable, bound } = upstreams;
  const { sharedParts, prefixes, now } = options;
  const lastPart = sharedParts.at(-1)!.name;
  const mayStart = createAdmissionCheck(lastPart, bound, options);
  const isCached = (upstream: Upstream) =>
    prefixes.isCached(lastPart, upstream.instanceHash, now);
  const kept = usable.filter(isCached)
    .map((upstream) => priceUpstream(upstream, options))
    .sort((one, other) => one.costMs - other.costMs)
    .find(({ upstream }) => mayStart(upstream));
  if (kept && suffices(kept, options)) {
    return toChoice(kept, "kept_prompt", bound);
  }
  const remaining = usable.filter((upstream) => !isCached(upstream));
  const uncached = chooseInOrder(
    filterLazily(rankForPart(lastPart, remaining), mayStart),
    options,
  );
  if (kept && !(uncached && uncached.costMs < kept.costMs)) {
    return toChoice(kept, "kept_prompt", bound);
  }
  if (uncached) return toChoice(uncached, "prompt_order", bound);
  return chooseLeastTime(upstreams, options);
}

/** Yields the items that pass a check. The check of an engine counts as an arrival there, so that no more are checked
 * than are needed. */
function* filterLazily<T>(
  items: readonly T[],
  passes: (item: T) => boolean,
): Iterable<T> {
  for (const item of items) if (passes(item)) yield item;
}

/** Chooses the first engine in a prompt's order that suffices, otherwise the
 * cheapest one of the first few. Other hosts go by the same order, so that few engines prefill the prompt. */
function chooseInOrder(
  admitting: Iterable<Upstream>,
  options: ChoiceOptions,
): PricedUpstream | undefined {
  const priced: PricedUpstream[] = [];
  for (const upstream of admitting) {
    const one = priceUpstream(upstream, options);
    if (suffices(one, options)) return one;
    priced.push(one);
    if (priced.length === PROMPT_ORDER_CHOICES) break;
  }
  return priced.length > 0 ? chooseCheapest(priced) : undefined;
}

/** Whether no other engine is sought: the response is likely in time, or waiting takes no longer than a prefill of the
 * prompt at another engine. */
function suffices(
  { estimate }: PricedUpstream,
  options: ChoiceOptions,
): boolean {
  const { waitMs, firstEventMs, errorMs } = estimate;
  const { objectiveMs, elapsedMs } = options.timing!.terms;
  return elapsedMs + firstEventMs + errorMs <= objectiveMs ||
    waitMs <= estimatePromptMs(options);
}

/** Chooses between the upstreams below the bound, or between all if none is below it. */
function chooseLeastTime(
  { usable, bound }: UsableUpstreams,
  options: ChoiceOptions,
): UpstreamChoice {
  const { loads, random, now } = options;
  const below = usable.filter((upstream) =>
    loads.getTotalRequests(upstream, now) < bound
  );
  const priced = (below.length > 0 ? below : usable).map((upstream) =>
    priceUpstream(upstream, options)
  );
  const index = chooseByTime(priced.map(({ costMs }) => costMs), random);
  return toChoice(priced[index]!, "least_time", bound);
}

function chooseCheapest(priced: readonly PricedUpstream[]): PricedUpstream {
  return priced.reduce((best, one) => one.costMs < best.costMs ? one : best);
}

function toChoice(
  { upstream, estimate, estimateBasis }: PricedUpstream,
  basis: ChoiceBasis,
  bound: number,
): UpstreamChoice {
  return { upstream, basis, bound, estimate, estimateBasis };
}

function priceUpstream(
  upstream: Upstream,
  options: ChoiceOptions,
): PricedUpstream {
  const { times, terms } = options.timing!;
  const work = buildWork(upstream, options);
  const observation = observeUpstream(upstream, options);
  const estimate = times.estimate(work, observation);
  const { ownRequests, foreignRequests } = observation;
  const costMs = computeCostMs({
    estimate,
    readMs: estimateReadMs(work, options.timing!),
    running: ownRequests + foreignRequests,
    failureRate: upstream.health.rate,
    hasIdleConnection: upstream.connections.hasIdle,
  }, terms);
  return { upstream, estimate, estimateBasis: { work, observation }, costMs };
}

/** Returns the work of the request on an upstream. What another engine has cached is fetched from there. */
function buildWork(upstream: Upstream, options: ChoiceOptions): RequestWork {
  const { service, route, sharedParts, prefixes, now } = options;
  const { isStream, canFetch } = options.timing!;
  const missing = sharedParts.filter(({ name }) =>
    !prefixes.isCached(name, upstream.instanceHash, now)
  );
  const tokens = countTokens(missing);
  const isFetched = canFetch && missing.length > 0 &&
    prefixes.isCachedAnywhere(missing.at(-1)!.name, now);
  return {
    service,
    route,
    prefillTokens: isFetched ? 0 : tokens,
    fetchTokens: isFetched ? tokens : 0,
    isOtherHall: upstream.published.hall !== options.hall,
    isStream,
  };
}

/** Estimates the time in which an idle engine prefills all shared parts of the prompt, in milliseconds. */
function estimatePromptMs(
  { sharedParts, service, timing }: ChoiceOptions,
): number {
  return countTokens(sharedParts) * getMsPerToken(service, timing!);
}

/** Estimates the time in which an engine reads what it lacks of the prompt, in milliseconds. A fetch keeps the links of
 * two engines busy in place of a prefill. */
function estimateReadMs(
  { prefillTokens, fetchTokens = 0, service }: RequestWork,
  timing: ChoiceTiming,
): number {
  return (prefillTokens + fetchTokens) * getMsPerToken(service, timing);
}

function getMsPerToken(service: string, { times }: ChoiceTiming): number {
  return times.getPrefillMsPerToken(service) ?? PREFILL_MS_PER_TOKEN;
}

function countTokens(parts: readonly HashedPromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
