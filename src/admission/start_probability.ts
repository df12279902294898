/** Standard deviations of the unseen change of a load that are kept free below the bound. */
const RESERVED_DEVIATIONS = 2;
/** Fraction of the room of an upstream that all hosts together fill until counts are exchanged again. A greater one makes the
 * load overshoot, since the feedback of the counts is delayed. */
const FILLED_PART = 0.5;

/** Requests on an upstream, as a host knows them, and the bound on them. */
export interface UpstreamLoad {
  /** Requests that the upstream may hold. */
  bound: number;
  /** Requests of this host. */
  own: number;
  /** Requests that others are taken to have there. */
  foreign: number;
  /** Mean age of what the others told, in milliseconds. */
  countAgeMs: number;
}

/** Requests that all hosts may add to an upstream beside one more of this host until counts are exchanged again; below 0 where
 * this host may not add that one. Other hosts have ended and started requests since their counts, so that a reserve for the
 * deviation is kept.
 * @param load What is known of the upstream.
 * @param heldMeanMs Mean time of the requests held, in milliseconds; undefined where it is not known. */
export function computeRoom(
  load: UpstreamLoad,
  heldMeanMs: number | undefined,
): number {
  const { bound, own, foreign, countAgeMs } = load;
  const replaced = foreign * computeEndedPart(countAgeMs, heldMeanMs);
  const most = bound - own - 1 - foreign + replaced;
  if (most < 0) return most;
  // The mean m of a Poisson process with m + deviations * sqrt(m) = most.
  const half = RESERVED_DEVIATIONS / 2;
  return (Math.sqrt(half ** 2 + most) - half) ** 2 - replaced;
}

/** Probability with which each host starts its requests for popular prompts on an upstream, so that all hosts together fill
 * a part of its room.
 * @param room Room of the upstream.
 * @param unseenStarts Requests for popular prompts that other hosts would start there until counts are exchanged again. */
export function computeStartProbability(
  room: number,
  unseenStarts: number,
): number {
  if (room < 0) return 0;
  const filled = FILLED_PART * room;
  return filled >= unseenStarts ? 1 : filled / unseenStarts;
}

/** Part of the requests at an upstream that have ended after some time.
 * @param afterMs The time in milliseconds.
 * @param meanMs Mean time of a request in milliseconds; undefined where it is not known. */
export function computeEndedPart(
  afterMs: number,
  meanMs: number | undefined,
): number {
  if (afterMs <= 0) return 0;
  return meanMs === undefined ? 1 : 1 - Math.exp(-afterMs / meanMs);
}
