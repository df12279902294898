/** Standard deviations of the unseen change of a load that are kept free below the bound. */
const RESERVED_DEVIATIONS = 2;
/** Part of the room of an upstream that all hosts together fill before they hear of each other again. With more of it, the
 * load overshoots, for all act on the same late counts. */
const FILLED_PART = 0.5;

/** What a host knows of an upstream when it decides whether to start a request there. */
export interface StartKnowledge {
  /** Requests that the upstream may hold. */
  bound: number;
  /** Requests of this host. */
  own: number;
  /** Requests that others are taken to have there. */
  foreign: number;
  /** Mean age of what the others told, in milliseconds. */
  countAgeMs: number;
  /** Mean time of the requests held, in milliseconds; undefined where it is not known. */
  heldMeanMs: number | undefined;
}

/** Requests that may be added to an upstream beside one more of this host, before hosts hear of each other again; below 0 where
 * it may not get that one. Some of the others' requests have ended since they told and about as many were started, so that a
 * reserve of the deviation is kept.
 * @param knowledge What is known of the upstream. */
export function computeRoom(knowledge: StartKnowledge): number {
  const { bound, own, foreign, countAgeMs, heldMeanMs } = knowledge;
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
 * @param unseenStarts Requests for popular prompts that other hosts would start there before they hear of each other. */
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
