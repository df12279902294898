import type { PoolMeans } from "./load_book.ts";

/** What the bound of one upstream is worked out from. */
export interface LoadBoundStructure {
  /** No upstream carries more than this multiple of the mean. */
  boundMultiple: number;
  /** Requests an upstream may carry however low the mean is. */
  minimumCap: number;
  /** Requests the upstream takes at once. */
  slots: number;
  /** Mean load of the pool as it is known here. */
  mean: number;
  /** Part of the listed routers that this one hears; the others are assumed to use the rest. */
  heardShare: number;
}

/** Requests on one upstream. */
export interface UpstreamLoadStructure {
  /** Those this router has running. */
  own: number;
  /** Those other routers are taken to have running. */
  foreign: number;
}

/** Part of the promised multiple that is used; the rest is kept for loads that are known late. */
const USED_PART = 0.8;
/** Load that upstreams in reach must be able to carry, as a multiple of what they do. */
const LEAST_HEADROOM = 1.2;
/** Requests below the promise that are kept for what another router starts unseen. */
export const KEPT_PLACES = 1;

/** Chooses the mean that bounds a pool: that of all its upstreams, unless those in reach could not carry their load then.
 * @param means Mean loads of the pool.
 * @param boundMultiple Promised multiple of the mean. */
export function chooseMean(means: PoolMeans, boundMultiple: number): number {
  const carried = boundMultiple * USED_PART * means.all;
  return carried >= LEAST_HEADROOM * means.reachable
    ? means.all
    : means.reachable;
}

/** Works out how many requests an upstream may carry, for its owner: one less than is promised, at the most.
 * @param bound What the bound is worked out from. */
export function computeCap(bound: LoadBoundStructure): number {
  const { boundMultiple, mean, minimumCap, slots } = bound;
  const promised = Math.max(minimumCap, Math.ceil(boundMultiple * mean));
  const used = Math.ceil(boundMultiple * USED_PART * mean);
  const cap = Math.max(minimumCap - KEPT_PLACES, used);
  return Math.min(slots, Math.max(1, Math.min(cap, promised - KEPT_PLACES)));
}

/** Whether this router may start one more request on an upstream.
 * Routers that do not hear each other each use only their part of the cap, so that together they keep to it;
 * an upstream on which nothing runs may always take one.
 * @param bound What the bound is worked out from.
 * @param load What the upstream carries. */
export function hasRoom(
  bound: LoadBoundStructure,
  load: UpstreamLoadStructure,
): boolean {
  const total = load.own + load.foreign;
  if (total === 0) return true;
  const cap = computeCap(bound);
  return total < cap && load.own < Math.floor(cap * bound.heardShare);
}
