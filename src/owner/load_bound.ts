import type { PoolMeans } from "./load_table.ts";

/** Inputs from which the load bound of one upstream is computed. */
export interface LoadBoundInputs {
  /** Guaranteed maximum load, as a multiple of the mean. */
  boundMultiple: number;
  /** Number of requests that an upstream may have in flight regardless of the mean. */
  minimumCap: number;
  /** Number of requests that the upstream processes concurrently. */
  slots: number;
  /** Mean load of the pool, as known to this router. */
  mean: number;
  /** Fraction of the listed routers that are reachable; unreachable ones are assumed to use the rest of the
   * capacity. */
  reachableFraction: number;
}

/** Requests in flight on one upstream. */
export interface UpstreamLoad {
  /** Requests that this router has running. */
  own: number;
  /** Estimated requests that other routers have running. */
  foreign: number;
}

/** Fraction of the guaranteed multiple that the owner uses; the rest is a margin for loads that become known late. */
const USABLE_FRACTION = 0.8;
/** Load that the bound must allow for reachable upstreams, as a multiple of their mean load. */
const MIN_HEADROOM = 1.2;
/** Slots below the guaranteed bound that are reserved for requests that another router starts without this one
 * knowing. */
export const RESERVED_SLOTS = 1;

/** Chooses the mean from which the bound of a pool is computed: the mean over all upstreams, unless its bound leaves
 * the reachable upstreams too little headroom for their present load.
 * @param means Mean loads of the pool.
 * @param boundMultiple Guaranteed multiple of the mean. */
export function chooseMean(means: PoolMeans, boundMultiple: number): number {
  const sustainable = boundMultiple * USABLE_FRACTION * means.all;
  return sustainable >= MIN_HEADROOM * means.reachable
    ? means.all
    : means.reachable;
}

/** Computes the maximum number of requests that the owner allows in flight on an upstream: at most its slots and one
 * less than the guaranteed bound, but at least one.
 * @param bound Inputs of the bound. */
export function computeCap(bound: LoadBoundInputs): number {
  const { boundMultiple, mean, minimumCap, slots } = bound;
  const guaranteed = Math.max(minimumCap, Math.ceil(boundMultiple * mean));
  const usable = Math.ceil(boundMultiple * USABLE_FRACTION * mean);
  const cap = Math.max(minimumCap - RESERVED_SLOTS, usable);
  return Math.min(
    slots,
    Math.max(1, Math.min(cap, guaranteed - RESERVED_SLOTS)),
  );
}

/** Returns whether this router may start one more request on an upstream.
 * During a network partition, each side uses only its fraction of the cap, so that all sides together stay within it.
 * An idle upstream may always take one request.
 * @param bound Inputs of the bound.
 * @param load Present load of the upstream. */
export function hasRoom(
  bound: LoadBoundInputs,
  load: UpstreamLoad,
): boolean {
  const total = load.own + load.foreign;
  if (total === 0) return true;
  const cap = computeCap(bound);
  return total < cap && load.own < Math.floor(cap * bound.reachableFraction);
}
