import type { Random } from "../random/random.ts";
import type { TimeEstimate } from "./time_estimate.ts";

/** Cost of a millisecond by which a first event is late, in milliseconds of a response in time. */
const LATENESS_COST = 4;
/** Cost of a millisecond after the first event of a stream, which no objective covers but which keeps a slot in use. */
const REMAINDER_COST = 0.1;
/** Cost of a failed request, as a multiple of its objective. One that may run only once is lost. */
const FAILURE_COST = 4;
/** Time that a new connection takes without the way there, in milliseconds. */
const CONNECT_MS = 1;

/** What a route's callers need. */
export interface PlacementTerms {
  /** Time within which a response, or the first event of a stream, has its full value, in milliseconds. */
  objectiveMs: number;
  /** Longest gap between two events of a stream that is in time, in milliseconds; undefined if there is no bound. */
  gapObjectiveMs: number | undefined;
  /** Time since the request arrived, in milliseconds. */
  elapsedMs: number;
}

/** An upstream that is considered for a request. */
export interface PlacementOption {
  estimate: TimeEstimate;
  /** Time in which the upstream reads the parts of the prompt that it lacks, in milliseconds. */
  readMs: number;
  /** Requests on the upstream, whose next events wait for that. */
  running: number;
  /** Fraction of recent requests that failed there. */
  failureRate: number;
  /** Whether this host has an idle connection to it. */
  hasIdleConnection: boolean;
}

/** Computes what sending a request to an upstream costs its caller and the callers that it delays, in milliseconds.
 * @param option The upstream.
 * @param terms What the route's callers need. */
export function computeCostMs(
  option: PlacementOption,
  terms: PlacementTerms,
): number {
  const { estimate, failureRate, hasIdleConnection } = option;
  const { firstEventMs, totalMs } = estimate;
  const connectMs = hasIdleConnection ? 0 : CONNECT_MS;
  return firstEventMs + connectMs +
    REMAINDER_COST * (totalMs - firstEventMs) +
    LATENESS_COST * estimateLatenessMs(estimate, terms) +
    estimateDelayMs(option, terms) +
    FAILURE_COST * failureRate * terms.objectiveMs;
}

/** Estimates by how much the first event will be late, in milliseconds. An estimate near the objective is late at times,
 * since it has an error. */
function estimateLatenessMs(
  { firstEventMs, errorMs }: TimeEstimate,
  { objectiveMs, elapsedMs }: PlacementTerms,
): number {
  const excessMs = firstEventMs + elapsedMs - objectiveMs;
  const scaleMs = Math.max(1, errorMs);
  const ratio = excessMs / scaleMs;
  return ratio > 30 ? excessMs : scaleMs * Math.log1p(Math.exp(ratio));
}

/** Estimates the delay of others while the upstream reads the prompt. It matters to the streams in progress as far as it
 * uses up the longest gap that is in time, and to the next prompt as a whole. */
function estimateDelayMs(
  { readMs, running }: PlacementOption,
  { gapObjectiveMs, objectiveMs }: PlacementTerms,
): number {
  const noticedFraction = Math.min(
    1,
    readMs / (gapObjectiveMs ?? objectiveMs),
  );
  return readMs * Math.max(1, running * noticedFraction);
}

/** Chooses the cheaper one of two random options, so that hosts which know the same old counts do not all choose the
 * same one. Returns its index.
 * @param costs Cost of each option, in milliseconds; at least one.
 * @param random Random source of the choice. */
export function chooseByTime(costs: readonly number[], random: Random): number {
  if (costs.length === 1) return 0;
  const one = random.integer(0, costs.length - 1);
  const next = random.integer(0, costs.length - 2);
  const other = next < one ? next : next + 1;
  return costs[other]! < costs[one]! ? other : one;
}
