import { rankByRendezvous } from "../hashing/rendezvous.ts";
import type { Random } from "../random/random.ts";
import type { LoadCounts } from "./load_counts.ts";
import type { Upstream } from "./upstream.ts";

/** Multiple of the mean load up to which a chat goes to its first upstream; below the multiple that is promised,
 * because other hosts' counts are known late. */
const HOME_MULTIPLE = 1.5;
/** Requests above that multiple which a chat's first upstream may still carry; half of what the promise allows. */
const HOME_EXTRA = 1.5;
/** Time after an upstream's word that it is full for which it is left out, in milliseconds. */
const COST_OF_OTHER_HALL = 0.15;

/** What a choice is made from. */
export interface ChoiceOptions {
  /** Upstreams that could run the request. */
  candidates: readonly Upstream[];
  /** Those it was sent to before. */
  tried: ReadonlySet<string>;
  /** What requests share that should meet at one upstream; nothing where they share nothing. */
  homeKey: string | undefined;
  loads: LoadCounts;
  /** Hall of this host. */
  hall: string;
  random: Random;
  /** Monotonic milliseconds. */
  now: number;
}

/** Chooses the upstream for a request, or nothing where none is left.
 * @param options What the choice is made from. */
export function chooseUpstream(options: ChoiceOptions): Upstream | undefined {
  const untried = options.candidates.filter((upstream) =>
    !options.tried.has(upstream.id)
  );
  const sound = untried.filter((upstream) =>
    !upstream.health.isEjected(options.now)
  );
  const free = sound.filter((upstream) => options.now >= upstream.fullUntil);
  const usable = [free, sound, untried].find((list) => list.length > 0);
  if (usable === undefined) return undefined;
  return options.homeKey === undefined
    ? chooseLeastLoaded(usable, options)
    : chooseHome(usable, options.homeKey, options);
}

/** The first upstream in the key's order that is not far above the mean; where all are, the least loaded. */
function chooseHome(
  usable: readonly Upstream[],
  homeKey: string,
  options: ChoiceOptions,
): Upstream {
  const byId = new Map(usable.map((upstream) => [upstream.id, upstream]));
  const total = usable.reduce(
    (sum, upstream) => sum + options.loads.getTotal(upstream),
    0,
  );
  const limit = HOME_MULTIPLE * total / usable.length + HOME_EXTRA;
  for (const id of rankByRendezvous(homeKey, [...byId.keys()])) {
    const upstream = byId.get(id)!;
    if (options.loads.getTotal(upstream) < limit) return upstream;
  }
  return chooseLeastLoaded(usable, options);
}

function chooseLeastLoaded(
  usable: readonly Upstream[],
  options: ChoiceOptions,
): Upstream {
  const costs = new Map(
    usable.map((upstream) => [upstream, estimateCost(upstream, options)]),
  );
  return options.random.shuffle(usable).reduce((best, upstream) =>
    costs.get(upstream)! < costs.get(best)! ? upstream : best
  );
}

/** Expected time of one more request, in units of an unloaded upstream's. */
function estimateCost(upstream: Upstream, options: ChoiceOptions): number {
  const load = options.loads.getTotal(upstream) / upstream.published.slots;
  const distance = upstream.published.hall === options.hall
    ? 0
    : COST_OF_OTHER_HALL;
  return load + distance + upstream.health.rate;
}
