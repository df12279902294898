import { BOUNDS, CANCEL_MS, FINAL_ANSWER_MS } from "./bounds.ts";
import { KIND_RULES } from "./caller_attempt.ts";
import type { Evidence } from "./evidence.ts";
import { groupRuns, type Judge } from "./judge_answers.ts";

/** What is added to each bound for the way and for the timers of this process, in milliseconds. */
const MARGIN_MS = 250;
/** Time after trouble of the store in which gateways may not have heard of a change, in milliseconds. */
const STORE_AFTERMATH_MS = 3_000;
/** Part of the requests given up that may still be worked on after the bound. */
const CANCEL_SHARE = 0.25;

/** The promises that are about time; they are judged in runs by hand, where the machine is not shared. */
export const TIME_JUDGES: Readonly<Record<string, Judge>> = {
  "a leaving worker gets no new work": judgeLeaving,
  "a key that was taken away is not honoured": judgeRevoked,
  "a final answer comes by the route's time-out": judgeFinalAnswers,
  "work ends when its caller has left": judgeCancelled,
  "retries keep to the budget": judgeRetries,
};

function judgeLeaving(evidence: Evidence): string[] {
  const { leavings, runs, faults, lagMs } = evidence;
  return leavings.flatMap(({ worker, at }) => {
    const latest = at + BOUNDS.leaveWithinMs + MARGIN_MS + lagMs;
    const from = at - STORE_AFTERMATH_MS;
    return runs.filter((run) =>
      run.worker === worker && run.startedAt > latest &&
      !faults.wasHit("store", from, run.startedAt) &&
      !hitsAnyGateway(evidence, from, run.startedAt)
    ).map((run) =>
      `${run.requestId} reached ${worker} ${
        Math.round(run.startedAt - at)
      } ms after its word`
    );
  });
}

/** Whether a gateway was killed or frozen within a time, which then may send what it took before. */
function hitsAnyGateway(
  { faults, attempts }: Evidence,
  from: number,
  to: number,
): boolean {
  const gateways = new Set(attempts.map((attempt) => attempt.gateway));
  return [...gateways].some((gateway) => faults.wasHit(gateway, from, to));
}

function judgeRevoked(evidence: Evidence): string[] {
  const { versions, attempts, runs, lagMs } = evidence;
  const runsOf = groupRuns(runs);
  const takenAt = new Map(
    versions.slice(0, -1).map(({ key }, index) => [
      key,
      versions[index + 1]!.at,
    ]),
  );
  return attempts.flatMap((attempt) => {
    const at = takenAt.get(attempt.key);
    if (at === undefined) return [];
    const isLate = attempt.sentAt > at + BOUNDS.keyBeliefMs + lagMs;
    return isLate && runsOf.has(attempt.requestId)
      ? [
        `${attempt.requestId} ran ${
          Math.round(attempt.sentAt - at)
        } ms after its key went`,
      ]
      : [];
  });
}

function judgeFinalAnswers(evidence: Evidence): string[] {
  return evidence.attempts.flatMap((attempt) => {
    const { sentAt, endedAt, gaveUpAt, gateway, requestId } = attempt;
    const until = endedAt ?? Infinity;
    const latest = sentAt + KIND_RULES[attempt.kind].timeoutMs +
      FINAL_ANSWER_MS + MARGIN_MS + evidence.lagMs;
    const isLate = (gaveUpAt ?? until) > latest;
    return isLate && !evidence.faults.wasHit(gateway, sentAt, until)
      ? [
        `${requestId} at ${gateway}: no end after ${
          Math.round(until - sentAt)
        } ms`,
      ]
      : [];
  });
}

function judgeCancelled(evidence: Evidence): string[] {
  const runsOf = groupRuns(evidence.runs);
  const given = evidence.attempts.filter((attempt) =>
    attempt.gaveUpAt !== undefined && KIND_RULES[attempt.kind].mayRepeat &&
    !evidence.faults.wasHit(attempt.gateway, attempt.sentAt, attempt.gaveUpAt)
  );
  const late = given.filter((attempt) => {
    const latest = attempt.gaveUpAt! + CANCEL_MS + MARGIN_MS + evidence.lagMs;
    return runsOf.get(attempt.requestId)?.some((run) =>
      (run.endedAt ?? Infinity) > latest &&
      !evidence.faults.wasHit(run.worker, run.startedAt, latest)
    );
  });
  return late.length > given.length * CANCEL_SHARE
    ? [
      `${late.length} of ${given.length} requests went on after their callers left`,
    ]
    : [];
}

function judgeRetries({ attempts, runs, declines }: Evidence): string[] {
  const serviceOf = new Map(
    attempts.map((attempt) => [
      attempt.requestId,
      KIND_RULES[attempt.kind].service,
    ]),
  );
  const arrivals = [
    ...runs.map(({ requestId, startedAt: at }) => ({ requestId, at })),
    ...declines,
  ].sort((a, b) => a.at - b.at);
  const first = new Set<string>();
  const repeats = arrivals.filter(({ requestId }) => {
    const isRepeat = first.has(requestId);
    first.add(requestId);
    return isRepeat;
  });
  return [...new Set(serviceOf.values())].flatMap((service) => {
    const isOwn = ({ requestId }: { requestId: string }) =>
      serviceOf.get(requestId) === service;
    return findExcess(
      attempts.filter(isOwn).map((attempt) => attempt.sentAt),
      repeats.filter(isOwn).map(({ at }) => at),
    ).map((excess) => `${service}: ${excess}`);
  });
}

/** The windows with more repeats than the requests in them allow; both are given by their times. */
function findExcess(sent: number[], repeated: number[]): string[] {
  return repeated.flatMap((end) => {
    const from = end - BOUNDS.retryWindowMs;
    const countInside = (times: number[]) =>
      times.filter((at) => at > from && at <= end).length;
    const count = countInside(repeated);
    const most = BOUNDS.retryRatio * countInside(sent) + BOUNDS.retryExtra;
    return count > most
      ? [`${count} repeats in a window, ${most} allowed`]
      : [];
  });
}
