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

/** Works out how many requests this router may have running on an upstream.
 * Parted routers each use their part of the fixed numbers, so that together they keep to them;
 * the part that follows the mean needs no division, for each side's mean counts its own requests only.
 * @param bound What the bound is worked out from. */
export function computeCap(bound: LoadBoundStructure): number {
  const relative = Math.ceil(bound.boundMultiple * bound.mean);
  const floor = Math.floor(bound.minimumCap * bound.heardShare);
  const hard = Math.floor(bound.slots * bound.heardShare);
  return Math.max(1, Math.min(hard, Math.max(floor, relative)));
}
