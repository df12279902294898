import { checkBackoffs, checkLeavingResponses } from "./availability.ts";
import { BOUNDS, CROSSING_MS, FAULT_RECOVERY_MS } from "./bounds.ts";
import { type CallerAttempt, KIND_RULES } from "./caller_attempt.ts";
import {
  checkCrashingParts,
  checkCrashingRequests,
} from "./crashing_requests.ts";
import type { Evidence, GracefulStop } from "./evidence.ts";
import { getOwnerOf, isPermanentKey } from "./soak_customers.ts";
import { countEvents, formatEvent, getEventVersions } from "./stream_text.ts";
import { checkStreamVersions } from "./stream_versions.ts";
import type { WorkerRun } from "./worker_run.ts";

/** Checks one invariant. Returns a line for each breach. */
export type InvariantCheck = (evidence: Evidence) => string[];

/** Statuses that state that a request has not run. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([
  408,
  421,
  429,
  503,
]);
/** Statuses that deny a request that the configuration does not allow. */
const DENIAL_STATUSES: ReadonlySet<number> = new Set([400, 401, 403, 404, 413]);
/** Time after the end of a worker's response in which its last bytes may not have been sent yet, in milliseconds:
 * responses that the worker had ended were lost when it crashed 0.2 and 0.9 ms later. */
const FINAL_FLUSH_MS = 5;
/** Share of a graceful stop's duration in which requests must complete; later, those still running may be cut off. */
const GRACEFUL_STOP_SHARE = 0.83;
/** Share of a graceful stop's duration from which a gateway may accept only requests that are certain to end in it. */
const LATE_STOP_SHARE = 0.375;

/** Checks of the invariants that hold regardless of timing, by the name that is printed with breaches. */
export const RESPONSE_INVARIANTS: Readonly<Record<string, InvariantCheck>> = {
  "a response belongs to its request, and is complete if it ends normally":
    checkResponses,
  "an error response with a worker's seal was sent by a worker":
    checkSealedFailures,
  "a non-repeatable request runs at most once": checkSingleRuns,
  "a request reported as not run has not run": checkNotRunResponses,
  "a request reaches its worker unchanged": checkUnchanged,
  "a stream contains events of one software version": checkStreamVersions,
  "no request reaches more workers than its route allows": checkWorkerCounts,
  "a gateway never reverts to an older configuration": checkRollbacks,
  "the response of an undisturbed worker reaches its caller":
    checkLostResponses,
  "a stopping gateway does not cut requests that came late": checkLateStopCuts,
  "no permitted request is denied": checkDenials,
  "a request that crashed three workers reaches few more":
    checkCrashingRequests,
  "prompts with a part that crashed five workers reach few more":
    checkCrashingParts,
  "a worker that asked for a backoff gets few requests during it":
    checkBackoffs,
  "a gateway sends no new requests to a worker after forwarding that it leaves":
    checkLeavingResponses,
};

function checkResponses({ attempts }: Evidence): string[] {
  return attempts.filter((attempt) => attempt.status === 200).flatMap(
    (attempt) => {
      const problem = attempt.seal === undefined
        ? "success without a seal"
        : KIND_RULES[attempt.kind].isStream
        ? findStreamProblem(attempt)
        : findBodyProblem(attempt);
      return problem ? [`${attempt.requestId}: ${problem}`] : [];
    },
  );
}

function findBodyProblem(attempt: CallerAttempt): string | undefined {
  if (!attempt.isWhole) return undefined;
  const isOwn = attempt.text.includes(`"requestId":"${attempt.requestId}"`);
  return isOwn && attempt.text.endsWith("}")
    ? undefined
    : `whole answer is ${attempt.text.slice(0, 60)}`;
}

function findStreamProblem(attempt: CallerAttempt): string | undefined {
  const { text, afterEvent, requestId, path, isWhole } = attempt;
  const blocks = text.split("\n\n");
  const rest = blocks.pop();
  const versions = getEventVersions(text);
  const expected = (index: number) => {
    const event = afterEvent + index + 1;
    const version = versions[index] ?? "";
    return formatEvent(requestId, event, path, version).trimEnd();
  };
  const wrong = blocks.findIndex((block, index) => block !== expected(index));
  if (wrong >= 0) return `event ${wrong + 1} is ${blocks[wrong]}`;
  const missing = countEvents(path) - afterEvent - blocks.length;
  if (isWhole && (rest !== "" || missing !== 0)) {
    return `ends as complete with ${missing} events missing`;
  }
  return undefined;
}

function checkSealedFailures({ attempts, runs }: Evidence): string[] {
  const statuses = new Set(
    runs.map((run) => `${run.requestId} ${run.status}`),
  );
  return attempts.filter((attempt) =>
    attempt.status !== undefined && attempt.status !== 200 &&
    attempt.seal !== undefined &&
    !statuses.has(`${attempt.requestId} ${attempt.status}`)
  ).map((attempt) =>
    `${attempt.requestId}: ${attempt.status} with ${attempt.seal}`
  );
}

function checkSingleRuns(evidence: Evidence): string[] {
  const runsById = groupRunsById(evidence.runs);
  return evidence.attempts.filter((attempt) =>
    !KIND_RULES[attempt.kind].mayRepeat &&
    (runsById.get(attempt.requestId)?.length ?? 0) > 1
  ).map((attempt) => `${attempt.requestId} ran more than once`);
}

function checkNotRunResponses(evidence: Evidence): string[] {
  const runsById = groupRunsById(evidence.runs);
  return evidence.attempts.filter((attempt) =>
    !KIND_RULES[attempt.kind].mayRepeat &&
    NOT_RUN_STATUSES.has(attempt.status ?? 0) && runsById.has(attempt.requestId)
  ).map((attempt) => `${attempt.requestId} got ${attempt.status} and ran`);
}

function checkUnchanged({ attempts, runs }: Evidence): string[] {
  const attemptById = new Map(
    attempts.map((attempt) => [attempt.requestId, attempt]),
  );
  return runs.flatMap((run) => {
    const attempt = attemptById.get(run.requestId);
    if (!attempt) return [`${run.requestId} ran but no caller sent it`];
    const rules = KIND_RULES[attempt.kind];
    const isSame = run.method === rules.method && run.path === attempt.path &&
      run.body === attempt.body && run.prompt === attempt.prompt &&
      run.service === rules.service &&
      run.customer === getOwnerOf(attempt.key) &&
      run.afterEvent >= attempt.afterEvent;
    return isSame ? [] : [`${run.requestId} ran as ${JSON.stringify(run)}`];
  });
}

function checkWorkerCounts(evidence: Evidence): string[] {
  const runsById = groupRunsById(evidence.runs);
  return evidence.attempts.flatMap(({ requestId, kind }) => {
    const runs = runsById.get(requestId) ?? [];
    const workers = new Set(runs.map((run) => run.worker)).size;
    return workers > KIND_RULES[kind].maxAttempts
      ? [`${requestId} ran on ${workers} workers`]
      : [];
  });
}

/** Finds requests served by an older version of the configuration although they were sent after a response of the same
 * start of the gateway had shown a newer one. */
function checkRollbacks({ attempts }: Evidence): string[] {
  const served = attempts.filter((attempt) =>
    attempt.version !== undefined && attempt.status === 200
  );
  return served.flatMap((later) => {
    const newer = served.find((earlier) =>
      earlier.gateway === later.gateway &&
      earlier.life === later.life &&
      earlier.version! > later.version! && earlier.endedAt! < later.sentAt
    );
    return newer
      ? [`${later.gateway} served ${later.version} after ${newer.version}`]
      : [];
  });
}

function checkLostResponses(evidence: Evidence): string[] {
  const runsById = groupRunsById(evidence.runs);
  return evidence.attempts.flatMap((attempt) => {
    const run = runsById.get(attempt.requestId)?.at(-1);
    if (!run || attempt.isWhole || attempt.gaveUpAt !== undefined) return [];
    return isUndisturbedRun(run, evidence) &&
        isUndisturbedAttempt(attempt, evidence) &&
        !hasCrossedTimeLimit(run, attempt, evidence)
      ? [
        `${attempt.requestId}: ${run.worker} responded, ${attempt.gateway} did not (status ${attempt.status})`,
      ]
      : [];
  });
}

/** Whether the time limit ended an attempt while the end of the worker's response was on its way. */
function hasCrossedTimeLimit(
  run: WorkerRun,
  { kind, sentAt, endedAt = Infinity }: CallerAttempt,
  { lagMs }: Evidence,
): boolean {
  return endedAt - sentAt >= KIND_RULES[kind].timeoutMs &&
    run.endedAt! + CROSSING_MS + lagMs >= endedAt;
}

/** Whether the worker sent its complete response and no fault affected it meanwhile.
 * @param run Run of the worker.
 * @param evidence What callers, workers and the store saw. */
export function isUndisturbedRun(
  run: WorkerRun,
  { faults }: Evidence,
): boolean {
  const leftAt = (run.endedAt ?? Infinity) + FINAL_FLUSH_MS;
  return run.isWhole && !run.wasCancelled &&
    !faults.wasAffected(run.worker, run.startedAt - FAULT_RECOVERY_MS, leftAt);
}

/** Whether no unplanned fault affected the gateway, and no graceful stop was due to cut the request off.
 * @param attempt Attempt of a caller.
 * @param evidence What callers, workers and the store saw. */
export function isUndisturbedAttempt(
  attempt: CallerAttempt,
  evidence: Evidence,
): boolean {
  const { gateway, sentAt, endedAt } = attempt;
  const until = endedAt ?? Infinity;
  if (evidence.faults.wasAffected(gateway, sentAt, until)) return false;
  const gracefulMs = BOUNDS.stopWithinMs * GRACEFUL_STOP_SHARE;
  return !evidence.gracefulStops.some((stop) =>
    stop.gateway === gateway && until > stop.at + gracefulMs &&
    sentAt < stop.at + BOUNDS.stopWithinMs + FAULT_RECOVERY_MS
  );
}

/** Finds requests that a gateway sent on although they came late in its stop, and then cut. */
function checkLateStopCuts(evidence: Evidence): string[] {
  const runsById = groupRunsById(evidence.runs);
  return evidence.attempts.flatMap((attempt) => {
    const { requestId, gateway, kind, sentAt, endedAt = Infinity } = attempt;
    const hasNoAnswer = attempt.status === undefined || attempt.status === 200;
    if (attempt.isWhole || !hasNoAnswer) return [];
    if (attempt.gaveUpAt !== undefined) return [];
    if (endedAt - sentAt >= KIND_RULES[kind].timeoutMs) return [];
    const run = runsById.get(requestId)?.at(-1);
    if (!run || !run.wasCancelled) return [];
    const stop = findStopInLateness(attempt, evidence);
    if (!stop) return [];
    const isDisturbed = [gateway, run.worker].some((target) =>
      evidence.faults.wasAffected(target, stop.at, endedAt)
    );
    if (isDisturbed) return [];
    const lateMs = Math.round(sentAt - stop.at);
    return [`${requestId}: ${gateway} cut it, sent ${lateMs} ms after SIGTERM`];
  });
}

/** Returns the stop of an attempt's gateway in whose late part it was sent. */
function findStopInLateness(
  { gateway, life, sentAt }: CallerAttempt,
  { gracefulStops, lagMs }: Evidence,
): GracefulStop | undefined {
  const lateMs = BOUNDS.stopWithinMs * LATE_STOP_SHARE + lagMs;
  return gracefulStops.find((stop) =>
    stop.gateway === gateway && stop.gatewayStart === life &&
    sentAt > stop.at + lateMs && sentAt < stop.at + BOUNDS.stopWithinMs
  );
}

/** Finds denied requests with a permanent key on permanent routes, which each version of the configuration allows. */
function checkDenials({ attempts }: Evidence): string[] {
  return attempts.filter((attempt) =>
    isPermanentKey(attempt.key) && attempt.kind !== "version" &&
    DENIAL_STATUSES.has(attempt.status ?? 0)
  ).map((attempt) => `${attempt.requestId} got ${attempt.status}`);
}

/** Groups runs by request id and keeps their order.
 * @param runs Runs of workers. */
export function groupRunsById(
  runs: readonly WorkerRun[],
): Map<string, WorkerRun[]> {
  const runsById = new Map<string, WorkerRun[]>();
  for (const run of runs) {
    const known = runsById.get(run.requestId) ?? [];
    known.push(run);
    runsById.set(run.requestId, known);
  }
  return runsById;
}
