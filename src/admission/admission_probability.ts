/** Capacity reserved below the bound, in standard deviations of the load change that this host has not yet learned
 * of. */
const RESERVED_STANDARD_DEVIATIONS = 2;
/** Fraction of an upstream's headroom that all hosts together fill before load counts are exchanged again. A higher
 * fraction makes the load overshoot, because the feedback from the counts is delayed. */
const HEADROOM_FILL_FRACTION = 0.5;

/** Load of an upstream, as known to this host, and its bound. */
export interface UpstreamLoad {
  /** Maximum number of requests on the upstream. */
  bound: number;
  /** Requests that this host has running on the upstream. */
  own: number;
  /** Estimated requests of all other hosts on the upstream. */
  foreign: number;
  /** Mean age of the load counts from other hosts, in milliseconds. */
  countAgeMs: number;
}

/** Computes how many requests all hosts may add to an upstream, beside one more of this host, until load counts are
 * exchanged again. Negative if this host may not add that one. Other hosts have completed and started requests since
 * their counts, so a reserve for the deviation is kept.
 * @param load Load of the upstream.
 * @param inFlightMeanMs Mean duration of the requests in flight, in milliseconds; undefined if unknown. */
export function computeHeadroom(
  load: UpstreamLoad,
  inFlightMeanMs: number | undefined,
): number {
  const { bound, own, foreign, countAgeMs } = load;
  const completed = foreign *
    computeCompletedFraction(countAgeMs, inFlightMeanMs);
  const available = bound - own - 1 - foreign + completed;
  if (available < 0) return available;
  // Solves m + deviations * sqrt(m) = available for the mean m of a Poisson process.
  const halfDeviations = RESERVED_STANDARD_DEVIATIONS / 2;
  return (Math.sqrt(halfDeviations ** 2 + available) - halfDeviations) ** 2 -
    completed;
}

/** Computes the probability with which each host admits its requests for popular prompts to an upstream, so that all
 * hosts together fill only a fraction of its headroom.
 * @param headroom Headroom of the upstream.
 * @param unseenStarts Requests for popular prompts that other hosts would start on the upstream until load counts are
 * exchanged again. */
export function computeAdmissionProbability(
  headroom: number,
  unseenStarts: number,
): number {
  if (headroom < 0) return 0;
  const fillable = HEADROOM_FILL_FRACTION * headroom;
  return fillable >= unseenStarts ? 1 : fillable / unseenStarts;
}

/** Computes the fraction of the requests on an upstream that have completed after a period.
 * @param elapsedMs Length of the period in milliseconds.
 * @param meanMs Mean duration of a request in milliseconds; undefined if unknown. */
export function computeCompletedFraction(
  elapsedMs: number,
  meanMs: number | undefined,
): number {
  if (elapsedMs <= 0) return 0;
  return meanMs === undefined ? 1 : 1 - Math.exp(-elapsedMs / meanMs);
}
