import type { Random } from "../random/random.ts";
import type { ShortageTimes } from "./shortage.ts";
import type { TimeEstimate } from "./time_estimate.ts";

/** Range of the factor by which the retry times of refused requests are spread, so that their callers do not return at
 * the same moment. */
const RETRY_SPREAD = [0.5, 1.5] as const;
/** Minimum and maximum retry time, in milliseconds. */
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 5_000;

/** Input of a decision on a request that has not been sent to any upstream. */
export interface AdmissionInput extends ShortageTimes {
  /** Expected times at the best upstream; undefined if nothing is known. */
  estimate: TimeEstimate | undefined;
  /** Time until the time limit of the request, in milliseconds. */
  limitLeftMs: number;
  /** Longest queue that the request may join at an upstream, in milliseconds. */
  allowanceMs: number;
  /** Time for which the request may still wait at this host, in milliseconds. */
  waitLeftMs: number;
  /** Latency objective of the request, in milliseconds. */
  objectiveMs: number;
  /** Whether the request's customer uses more than its share. */
  isAboveShare: boolean;
}

/** Why a request is refused: it cannot be served within its time limit, the queues would make it late, or too many
 * requests wait already. */
export type RefusalReason = "time_limit" | "queue" | "waiting_room";

/** What happens with a request. */
export type AdmissionDecision =
  | { type: "start" }
  /** It waits at this host, and is decided on again later. */
  | { type: "wait" }
  | { type: "refuse"; reason: RefusalReason; retryAfterMs: number };

/** Whether a request finds a queue that it may join. True if nothing is known.
 * @param input The request's times. */
export function isQueueShort(
  { estimate, allowanceMs }: AdmissionInput,
): boolean {
  return !estimate || estimate.waitMs <= allowanceMs;
}

/** Decides whether a request starts, waits at this host, or is refused. It is refused only if its time limit ends before
 * its response is expected, or if it would have to wait longer than it may until the queues have become short enough.
 * Queues that have been long for less than the objective refuse nothing, unless the customer uses more than its share:
 * counts of other hosts are as old as that.
 * @param input The request's times.
 * @param random Spreads the retry times. */
export function decideAdmission(
  input: AdmissionInput,
  random: Random,
): AdmissionDecision {
  const { estimate, limitLeftMs, allowanceMs, waitLeftMs } = input;
  if (!estimate) return { type: "start" };
  const excessMs = estimate.waitMs - allowanceMs;
  // Without a queue it starts: only a response shows whether the work still takes that long.
  const hasQueue = estimate.waitMs > 0;
  if (hasQueue && estimate.totalMs - estimate.errorMs > limitLeftMs) {
    return refuse("time_limit", Math.max(excessMs, 0), input, random);
  }
  if (isQueueShort(input)) return { type: "start" };
  if (excessMs <= waitLeftMs) return { type: "wait" };
  const isBrief = input.fullMs < input.objectiveMs;
  if (isBrief && !input.isAboveShare) return { type: "start" };
  return refuse("queue", excessMs, input, random);
}

/** Refuses a request because too many wait already.
 * @param input The request's times.
 * @param random Spreads the retry times. */
export function refuseWaiting(
  input: AdmissionInput,
  random: Random,
): AdmissionDecision {
  const waitMs = input.estimate?.waitMs ?? 0;
  return refuse("waiting_room", waitMs, input, random);
}

/** Room is expected when the excess has been worked off. A shortage that has lasted is expected to last as long again. */
function refuse(
  reason: RefusalReason,
  excessMs: number,
  { shortMs, allowanceMs }: AdmissionInput,
  random: Random,
): AdmissionDecision {
  const [low, high] = RETRY_SPREAD;
  const expectedMs = excessMs + Math.max(shortMs, allowanceMs);
  const spread = low + (high - low) * random.fraction();
  const retryAfterMs = Math.min(
    Math.max(expectedMs, MIN_RETRY_AFTER_MS) * spread,
    MAX_RETRY_AFTER_MS,
  );
  return { type: "refuse", reason, retryAfterMs };
}
