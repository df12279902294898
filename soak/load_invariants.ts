import { ERROR_RESPONSES } from "../src/errors/error_responses.ts";
import type { ErrorKind } from "../src/errors/error_kind.ts";
import { CROSSING_MS, RESPONSE_MARGIN_MS } from "./bounds.ts";
import { type CallerAttempt, KIND_RULES } from "./caller_attempt.ts";
import type { Evidence } from "./evidence.ts";
import {
  groupRunsById,
  type InvariantCheck,
  isUndisturbedAttempt,
  isUndisturbedRun,
  NOT_RUN_STATUSES,
} from "./response_invariants.ts";
import { checkStarvation } from "./starvation.ts";

/** Error kinds after which another gateway may serve the request at once. */
const IMMEDIATE_KINDS: ReadonlySet<string> = new Set(["draining"]);
/** Name of the check of ready responses, by which its breaches are found among others. */
export const READY_RESPONSES = "a ready response is not replaced by a refusal";

/** Checks of the invariants that matter most when there is little room, by the name that is printed with breaches. */
export const LOAD_INVARIANTS: Readonly<Record<string, InvariantCheck>> = {
  "no worker ever runs a request that was refused as not run":
    checkTrueRefusals,
  "a refusal states when to retry": checkRetryTimes,
  [READY_RESPONSES]: checkReadyResponses,
  "every call is answered": checkUnansweredCalls,
  "no customer, route or prompt size starves while others are served":
    checkStarvation,
};

function checkTrueRefusals({ attempts, runs }: Evidence): string[] {
  const runsById = groupRunsById(runs);
  return attempts.flatMap(({ requestId, status, refusal }) => {
    const isNotRun = refusal?.ran === "no" || NOT_RUN_STATUSES.has(status ?? 0);
    const [run] = runsById.get(requestId) ?? [];
    return isNotRun && run
      ? [`${requestId} got ${status} ${refusal?.kind} and ran on ${run.worker}`]
      : [];
  });
}

function checkRetryTimes(evidence: Evidence): string[] {
  return evidence.attempts.flatMap((attempt) => {
    const { requestId, refusal } = attempt;
    if (!refusal) return [];
    const { kind, retryAfter } = refusal;
    const promised = ERROR_RESPONSES[kind as ErrorKind]?.retryAfterSeconds;
    if (retryAfter === undefined) {
      return promised === undefined
        ? []
        : [`${requestId} got ${kind} without a time to retry`];
    }
    const seconds = Number(retryAfter);
    const shortest = IMMEDIATE_KINDS.has(kind) ? 0 : Number.MIN_VALUE;
    const longest = getLongestRetrySeconds(attempt, promised ?? 0, evidence);
    return seconds >= shortest && seconds <= longest
      ? []
      : [`${requestId} got ${kind} with the time to retry ${retryAfter}`];
  });
}

/** Returns the longest time to retry that helps a caller: until all requests that are ahead of it have ended, until the
 * backoff that workers asked for has passed, or the one for the error kind. */
function getLongestRetrySeconds(
  { kind }: CallerAttempt,
  promisedSeconds: number,
  { declines }: Evidence,
): number {
  const backoffsMs = declines.map(({ backoffMs = 0 }) => backoffMs);
  const longestMs = backoffsMs.reduce(
    (longest, backoffMs) => Math.max(longest, backoffMs),
    KIND_RULES[kind].timeoutMs,
  );
  return Math.max(promisedSeconds, longestMs / 1_000);
}

function checkReadyResponses(evidence: Evidence): string[] {
  const runsById = groupRunsById(evidence.runs);
  return evidence.attempts.flatMap((attempt) => {
    const { requestId, gaveUpAt, refusal, endedAt = Infinity } = attempt;
    if (gaveUpAt !== undefined || !refusal) return [];
    const ready = runsById.get(requestId)?.find((run) =>
      run.status === 200 && isUndisturbedRun(run, evidence) &&
      run.endedAt! + CROSSING_MS + evidence.lagMs < endedAt
    );
    return ready && isUndisturbedAttempt(attempt, evidence)
      ? [
        `${requestId} got ${refusal.kind} though ${ready.worker} had responded`,
      ]
      : [];
  });
}

/** Finds calls whose callers gave up long after the time limit. */
function checkUnansweredCalls({ attempts, faults }: Evidence): string[] {
  return attempts.flatMap(({ requestId, kind, gateway, sentAt, gaveUpAt }) => {
    if (gaveUpAt === undefined) return [];
    const limitMs = KIND_RULES[kind].timeoutMs + RESPONSE_MARGIN_MS;
    const isUnanswered = gaveUpAt - sentAt >= limitMs;
    return isUnanswered && !faults.wasAffected(gateway, sentAt, gaveUpAt)
      ? [`${requestId} got no response from ${gateway}`]
      : [];
  });
}
