import { rankByRendezvous } from "../hashing/rendezvous.ts";
import type { Random } from "../random/random.ts";
import type { LoadCounts } from "./load_counts.ts";
import type { PrefixIndex, SentPart } from "./prefix_index.ts";
import type { Upstream } from "./upstream.ts";

/** How far below the bound a chat may still choose its engine. */
interface KeepingLimit {
  /** Part of the promised multiple of the mean. */
  part: number;
  /** Requests above that, of the three that the promise allows. */
  extra: number;
}

/** By how late other hosts' counts are, up to which load a chat goes to an engine that keeps its context; the rest is for
 * what those hosts sent since. A limit that is too far below the bound has engines copy prompts that a sound one keeps. */
const KEEPING_LIMITS: Readonly<Record<CountAge, KeepingLimit>> = {
  fresh: { part: 0.92, extra: 2.2 },
  late: { part: 0.8, extra: 2.2 },
};
/** Reading ahead of an engine from which a prompt that none keeps goes to the next in its order, in milliseconds: below
 * half of the objectives of first events, and above what most prompts take. */
const BUSY_READING_MS = 150;
/** What an upstream in another hall costs against one in this, as a part of an upstream's slots. */
const COST_OF_OTHER_HALL = 0.15;

/** What an upstream was chosen by: the prompt is kept there, the prompt's order of engines, or the least cost. */
export type ChoiceBasis = "kept_prompt" | "prompt_order" | "least_cost";

/** An upstream that was chosen, and what decided it. */
export interface UpstreamChoice {
  upstream: Upstream;
  basis: ChoiceBasis;
  /** Requests below which an engine may get a prompt; undefined where the request shares none. */
  limit: number | undefined;
}

/** How old other hosts' counts of requests are: of the last round of gossip, or by way of others. */
export type CountAge = "fresh" | "late";

/** What a choice is made from. */
export interface ChoiceOptions {
  /** Upstreams that could run the request and take requests now. */
  candidates: readonly Upstream[];
  /** Those it was sent to before. */
  tried: ReadonlySet<string>;
  /** The prompt's parts that other requests share, in order; empty where it shares nothing. */
  sharedParts: readonly SentPart[];
  /** Whether the request can't be sent again once it may have run; it then avoids upstreams that failed lately. */
  isCautious: boolean;
  /** No upstream is to carry more than this multiple of the mean load, and three requests. */
  boundMultiple: number;
  countAge: CountAge;
  loads: LoadCounts;
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
  const sound = untried.filter((upstream) =>
    !upstream.health.isEjected(options.now)
  );
  const free = sound.filter((upstream) =>
    upstream.availability.hasRoom(options.now)
  );
  const trusted = options.isCautious
    ? free.filter((upstream) => !upstream.health.isSuspect)
    : free;
  const usable = [trusted, free, sound, untried].find((list) =>
    list.length > 0
  );
  if (usable === undefined) return undefined;
  return options.sharedParts.length === 0
    ? chooseLeastCost(usable, options)
    : chooseKeeping(usable, options);
}

/** An engine that keeps the prompt, else the first in the prompt's order, as long as it is not far above the mean;
 * where all are, the least loaded. */
function chooseKeeping(
  usable: readonly Upstream[],
  options: ChoiceOptions,
): UpstreamChoice {
  const { sharedParts, prefixes, loads, now } = options;
  const lastPart = sharedParts.at(-1)!.name;
  const limit = computeLimit(usable, options);
  const hasRoom = (upstream: Upstream) => loads.getTotal(upstream) < limit;
  const keeping = usable.filter((upstream) =>
    prefixes.isKept(lastPart, upstream.shortName, now)
  );
  // All are ranked only where none that keeps the prompt has room: that costs a hash for each of them.
  const kept = rankForPart(lastPart, keeping).find(hasRoom);
  if (kept) return { upstream: kept, basis: "kept_prompt", limit };
  const placed = findPlace(
    rankForPart(lastPart, usable).filter(hasRoom),
    options,
  );
  if (placed) return { upstream: placed, basis: "prompt_order", limit };
  return { ...chooseLeastCost(usable, options), limit };
}

/** Requests below which an engine may get a chat. */
function computeLimit(
  usable: readonly Upstream[],
  { loads, boundMultiple, countAge }: ChoiceOptions,
): number {
  const { part, extra } = KEEPING_LIMITS[countAge];
  const total = usable.reduce((sum, one) => sum + loads.getTotal(one), 0);
  return boundMultiple * part * total / usable.length + extra;
}

/** Engines in the order in which a part of a prompt goes to them. */
function rankForPart(part: number, engines: readonly Upstream[]): Upstream[] {
  const byId = new Map(engines.map((engine) => [engine.id, engine]));
  return rankByRendezvous(String(part), [...byId.keys()])
    .map((id) => byId.get(id)!);
}

/** The first engine that is not reading far ahead, else the first. */
function findPlace(
  ranked: readonly Upstream[],
  { prefixes, now }: ChoiceOptions,
): Upstream | undefined {
  return ranked.find((upstream) =>
    prefixes.getReadingMs(upstream.shortName, now) < BUSY_READING_MS
  ) ?? ranked[0];
}

function chooseLeastCost(
  usable: readonly Upstream[],
  options: ChoiceOptions,
): UpstreamChoice {
  const costs = new Map(
    usable.map((upstream) => [upstream, estimateCost(upstream, options)]),
  );
  const upstream = options.random.shuffle(usable).reduce((best, one) =>
    costs.get(one)! < costs.get(best)! ? one : best
  );
  return { upstream, basis: "least_cost", limit: undefined };
}

/** Expected time of one more request, in units of an unloaded upstream's. */
function estimateCost(upstream: Upstream, options: ChoiceOptions): number {
  const load = options.loads.getTotal(upstream) / upstream.published.slots;
  const distance = upstream.published.hall === options.hall
    ? 0
    : COST_OF_OTHER_HALL;
  return load + distance + upstream.health.rate;
}
