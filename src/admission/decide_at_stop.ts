/** Fraction of the time limit of a graceful stop in which requests may finish; the rest is for closing and for the exit
 * of the process. */
export const STOP_TIME_FRACTION = 0.93;
/** Fraction of the time limit within which requests are accepted at most that are likely, but not certain, to end. */
const LIKELY_TIME_FRACTION = 0.36;

/** What a caller loses if a request is refused while another host can take it, as a fraction of the value of a whole
 * response: it needs a new connection, and one of the few repeats that callers make. */
const REFUSAL_LOSS = 0.3;
/** The same if no other host takes requests. */
const REFUSAL_LOSS_WITHOUT_OTHERS = 0.6;
/** What a caller loses if the stop cuts a response that it can have continued or repeated elsewhere. */
const REPEATABLE_CUT_LOSS = 0.39;
/** The same if it can't. */
const CUT_LOSS = 1;
/** Minimum time that a caller needs after a cut to have a request continued or repeated, in milliseconds. */
const MIN_REPEAT_MS = 1_000;

/** What the decision on a request that arrives during a stop is based on. */
export interface StopInputs {
  /** Time since the start of the stop, in milliseconds. */
  elapsedMs: number;
  /** Time limit of the stop, in milliseconds. */
  limitMs: number;
  /** Time after the start of the stop within which callers stop using the host's address, in milliseconds. */
  callersLeaveWithinMs: number;
  /** Time until the request's deadline, in milliseconds. */
  deadlineMs: number;
  /** Probability that the request ends within the usable time of the stop; undefined if nothing is known. */
  endProbability: number | undefined;
  /** Whether the request can be repeated or continued at another host after a cut. */
  mayRunAgain: boolean;
  /** Whether another host takes requests. */
  hasOtherHost: boolean;
}

/** Decision on a request that arrives during a stop. */
export type StopDecision =
  /** It is accepted: its deadline lies before the end of the stop. */
  | "certain"
  /** It is accepted, because it is likely to end before the stop does. */
  | "likely"
  | "refused";

/** Returns the time that is left of a stop for requests, in milliseconds.
 * @param elapsedMs Time since its start, in milliseconds.
 * @param limitMs Its time limit, in milliseconds. */
export function getUsableMs(elapsedMs: number, limitMs: number): number {
  return Math.max(0, limitMs * STOP_TIME_FRACTION - elapsedMs);
}

/** Decides whether a stopping process accepts a request. Those that come late are accepted only if they are certain to
 * end, since an estimate fails when durations change during the stop.
 * @param inputs What the decision is based on. */
export function decideAtStop(inputs: StopInputs): StopDecision {
  const { elapsedMs, limitMs, callersLeaveWithinMs, deadlineMs } = inputs;
  const usableMs = getUsableMs(elapsedMs, limitMs);
  if (deadlineMs <= usableMs) return "certain";
  const likelyWithinMs = Math.min(
    callersLeaveWithinMs,
    limitMs * LIKELY_TIME_FRACTION,
  );
  if (elapsedMs > likelyWithinMs) return "refused";
  return decideEarly(inputs, deadlineMs - usableMs);
}

/** Compares what the caller is likely to lose by a cut with what it loses by a refusal. */
function decideEarly(
  { endProbability, mayRunAgain, hasOtherHost }: StopInputs,
  remainingAfterCutMs: number,
): StopDecision {
  if (endProbability === undefined) return "likely";
  const canRepeat = mayRunAgain && remainingAfterCutMs >= MIN_REPEAT_MS;
  const cutLoss = canRepeat ? REPEATABLE_CUT_LOSS : CUT_LOSS;
  const refusalLoss = hasOtherHost ? REFUSAL_LOSS : REFUSAL_LOSS_WITHOUT_OTHERS;
  return (1 - endProbability) * cutLoss <= refusalLoss ? "likely" : "refused";
}
