import {
  BOUNDS,
  CANCEL_TIMEOUT_MS,
  FINAL_RESPONSE_GRACE_MS,
} from "./bounds.ts";
import { KIND_RULES } from "./caller_attempt.ts";
import type { Evidence } from "./evidence.ts";
import { groupRunsById, type InvariantCheck } from "./response_invariants.ts";

/** Tolerance added to the bounds on single requests for network latency and for timers, in milliseconds. */
const TOLERANCE_MS = 250;
/** Time after a fault of the store in which gateways may not have received a change, in milliseconds. */
const STORE_RECOVERY_MS = 3_000;
/** Largest share of the abandoned requests that may still run after the bound. */
const MAX_LATE_SHARE = 0.25;

/** Checks of the invariants about timing, by the name that is printed with breaches. They are for manual runs on a
 * machine without other load. */
export const TIMING_INVARIANTS: Readonly<Record<string, InvariantCheck>> = {
  "a leaving worker gets no new requests": checkLeaving,
  "a revoked key is not accepted": checkRevokedKeys,
  "the final response arrives within the route's timeout": checkFinalResponses,
  "work ends after its caller has disconnected": checkCancelled,
  "retries stay within the budget": checkRetries,
};

function checkLeaving(evidence: Evidence): string[] {
  const { leaveAnnouncements, runs, faults, lagMs } = evidence;
  return leaveAnnouncements.flatMap(({ worker, at }) => {
    const latest = at + BOUNDS.leaveWithinMs + TOLERANCE_MS + lagMs;
    const from = at - STORE_RECOVERY_MS;
    return runs.filter((run) =>
      run.worker === worker && run.startedAt > latest &&
      !faults.wasAffected("store", from, run.startedAt) &&
      !wasAnyGatewayAffected(evidence, from, run.startedAt)
    ).map((run) =>
      `${run.requestId} reached ${worker} ${
        Math.round(run.startedAt - at)
      } ms after it announced leaving`
    );
  });
}

/** Whether any gateway was killed or paused within an interval; it may then send requests that it accepted before. */
function wasAnyGatewayAffected(
  { faults, attempts }: Evidence,
  from: number,
  to: number,
): boolean {
  const gateways = new Set(attempts.map((attempt) => attempt.gateway));
  return [...gateways].some((gateway) => faults.wasAffected(gateway, from, to));
}

function checkRevokedKeys(evidence: Evidence): string[] {
  const { versions, attempts, runs, lagMs } = evidence;
  const runsById = groupRunsById(runs);
  const revokedAt = new Map(
    versions.slice(0, -1).map(({ key }, index) => [
      key,
      versions[index + 1]!.at,
    ]),
  );
  return attempts.flatMap((attempt) => {
    const at = revokedAt.get(attempt.key);
    if (at === undefined) return [];
    const isLate = attempt.sentAt > at + BOUNDS.revokeWithinMs + lagMs;
    return isLate && runsById.has(attempt.requestId)
      ? [
        `${attempt.requestId} ran ${
          Math.round(attempt.sentAt - at)
        } ms after its key was revoked`,
      ]
      : [];
  });
}

function checkFinalResponses(evidence: Evidence): string[] {
  return evidence.attempts.flatMap((attempt) => {
    const { sentAt, endedAt, gaveUpAt, gateway, requestId } = attempt;
    const until = endedAt ?? Infinity;
    const latest = sentAt + KIND_RULES[attempt.kind].timeoutMs +
      FINAL_RESPONSE_GRACE_MS + TOLERANCE_MS + evidence.lagMs;
    const isLate = (gaveUpAt ?? until) > latest;
    return isLate && !evidence.faults.wasAffected(gateway, sentAt, until)
      ? [
        `${requestId} at ${gateway}: no end after ${
          Math.round(until - sentAt)
        } ms`,
      ]
      : [];
  });
}

function checkCancelled(evidence: Evidence): string[] {
  const runsById = groupRunsById(evidence.runs);
  const givenUp = evidence.attempts.filter((attempt) =>
    attempt.gaveUpAt !== undefined && KIND_RULES[attempt.kind].mayRepeat &&
    !evidence.faults.wasAffected(
      attempt.gateway,
      attempt.sentAt,
      attempt.gaveUpAt,
    )
  );
  const late = givenUp.filter((attempt) => {
    const latest = attempt.gaveUpAt! + CANCEL_TIMEOUT_MS + TOLERANCE_MS +
      evidence.lagMs;
    return runsById.get(attempt.requestId)?.some((run) =>
      (run.endedAt ?? Infinity) > latest &&
      !evidence.faults.wasAffected(run.worker, run.startedAt, latest)
    );
  });
  return late.length > givenUp.length * MAX_LATE_SHARE
    ? [
      `${late.length} of ${givenUp.length} requests kept running after their callers had disconnected`,
    ]
    : [];
}

function checkRetries({ attempts, runs, declines }: Evidence): string[] {
  const serviceById = new Map(
    attempts.map((attempt) => [
      attempt.requestId,
      KIND_RULES[attempt.kind].service,
    ]),
  );
  const arrivals = [
    ...runs.map(({ requestId, startedAt: at }) => ({ requestId, at })),
    ...declines,
  ].sort((a, b) => a.at - b.at);
  const seen = new Set<string>();
  const retries = arrivals.filter(({ requestId }) => {
    const isRetry = seen.has(requestId);
    seen.add(requestId);
    return isRetry;
  });
  return [...new Set(serviceById.values())].flatMap((service) => {
    const isOfService = ({ requestId }: { requestId: string }) =>
      serviceById.get(requestId) === service;
    return findExcessRetries(
      attempts.filter(isOfService).map((attempt) => attempt.sentAt),
      retries.filter(isOfService).map(({ at }) => at),
    ).map((excess) => `${service}: ${excess}`);
  });
}

/** Finds windows with more retries than their number of requests allows.
 * @param sent Times at which requests were sent.
 * @param retried Times at which retries arrived. */
function findExcessRetries(sent: number[], retried: number[]): string[] {
  return retried.flatMap((end) => {
    const from = end - BOUNDS.retryWindowMs;
    const countInside = (times: number[]) =>
      times.filter((at) => at > from && at <= end).length;
    const count = countInside(retried);
    const allowed = BOUNDS.retryRatio * countInside(sent) + BOUNDS.retryExtra;
    return count > allowed
      ? [`${count} retries in a window, ${allowed} allowed`]
      : [];
  });
}
