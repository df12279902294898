import { judgeBackoffs, judgeLeavingAnswers } from "./availability.ts";
import { AFTERMATH_MS, BOUNDS } from "./bounds.ts";
import { type CallerAttempt, KIND_RULES } from "./caller_attempt.ts";
import { judgeCrashingRequests } from "./crashing_requests.ts";
import type { Evidence } from "./evidence.ts";
import { CUSTOMER, LASTING_KEY } from "./soak_fleet.ts";
import { countEvents, getEventData } from "./stream_text.ts";
import type { WorkerRun } from "./worker_run.ts";

/** Looks for breaches of one promise; returns a line for each. */
export type Judge = (evidence: Evidence) => string[];

/** Statuses that say that a request has not run. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Statuses that refuse what the configuration does not allow. */
const DENIED: ReadonlySet<number> = new Set([400, 401, 403, 404, 413]);
/** Time after the end of a worker's answer in which its last bytes may not have left it, in milliseconds: one that ended by
 * its own account was lost with a worker that crashed 0.2 and 0.9 ms later. */
const LAST_BYTES_MS = 5;
/** Closing part of a planned stop in which what still runs may be broken off. */
const STOP_PART = 0.83;

/** The promises that hold whatever the time something takes. */
export const ANSWER_JUDGES: Readonly<Record<string, Judge>> = {
  "an answer is that of its own request, and whole": judgeWholeness,
  "a failure with a worker's seal is the worker's": judgeFailures,
  "what may run once runs once": judgeOnce,
  "what is said not to have run has not": judgeNotRun,
  "a worker runs what a caller sent": judgeUnchanged,
  "no request reaches more workers than its route allows": judgeWorkers,
  "a configuration never goes back": judgeRollback,
  "a sound worker's answer reaches its caller": judgeLost,
  "nothing proper is denied": judgeDenied,
  "a request that crashed three workers reaches few more":
    judgeCrashingRequests,
  "a worker that asked for a backoff gets few requests in it": judgeBackoffs,
  "a worker that says it leaves gets no new work from who passed that on":
    judgeLeavingAnswers,
};

function judgeWholeness({ attempts }: Evidence): string[] {
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
  const expected = (index: number) =>
    `id: ${afterEvent + index + 1}\ndata: ${
      getEventData(requestId, afterEvent + index + 1, path)
    }`;
  const wrong = blocks.findIndex((block, index) => block !== expected(index));
  if (wrong >= 0) return `event ${wrong + 1} is ${blocks[wrong]}`;
  const missing = countEvents(path) - afterEvent - blocks.length;
  if (isWhole && (rest !== "" || missing !== 0)) {
    return `ends as whole with ${missing} events missing`;
  }
  return undefined;
}

function judgeFailures({ attempts, runs }: Evidence): string[] {
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

function judgeOnce(evidence: Evidence): string[] {
  const runsOf = groupRuns(evidence.runs);
  return evidence.attempts.filter((attempt) =>
    !KIND_RULES[attempt.kind].mayRepeat &&
    (runsOf.get(attempt.requestId)?.length ?? 0) > 1
  ).map((attempt) => `${attempt.requestId} ran more than once`);
}

function judgeNotRun(evidence: Evidence): string[] {
  const runsOf = groupRuns(evidence.runs);
  return evidence.attempts.filter((attempt) =>
    !KIND_RULES[attempt.kind].mayRepeat &&
    NOT_RUN.has(attempt.status ?? 0) && runsOf.has(attempt.requestId)
  ).map((attempt) => `${attempt.requestId} got ${attempt.status} and ran`);
}

function judgeUnchanged({ attempts, runs }: Evidence): string[] {
  const attemptOf = new Map(
    attempts.map((attempt) => [attempt.requestId, attempt]),
  );
  return runs.flatMap((run) => {
    const attempt = attemptOf.get(run.requestId);
    if (!attempt) return [`${run.requestId} ran and nobody sent it`];
    const rules = KIND_RULES[attempt.kind];
    const isSame = run.method === rules.method && run.path === attempt.path &&
      run.body === attempt.body && run.prompt === attempt.prompt &&
      run.service === rules.service && run.customer === CUSTOMER &&
      run.afterEvent >= attempt.afterEvent;
    return isSame ? [] : [`${run.requestId} ran as ${JSON.stringify(run)}`];
  });
}

function judgeWorkers(evidence: Evidence): string[] {
  const runsOf = groupRuns(evidence.runs);
  return evidence.attempts.flatMap(({ requestId, kind }) => {
    const runs = runsOf.get(requestId) ?? [];
    const workers = new Set(runs.map((run) => run.worker)).size;
    return workers > KIND_RULES[kind].maxAttempts
      ? [`${requestId} ran on ${workers} workers`]
      : [];
  });
}

/** Within one life of a gateway, a request sent after a newer version showed must not be served as an older one. */
function judgeRollback({ attempts }: Evidence): string[] {
  const served = attempts.filter((attempt) =>
    attempt.version !== undefined && attempt.status === 200
  );
  return served.flatMap((later) => {
    const newer = served.find((sooner) =>
      sooner.gateway === later.gateway && sooner.life === later.life &&
      sooner.version! > later.version! && sooner.endedAt! < later.sentAt
    );
    return newer
      ? [`${later.gateway} served ${later.version} after ${newer.version}`]
      : [];
  });
}

function judgeLost(evidence: Evidence): string[] {
  const runsOf = groupRuns(evidence.runs);
  return evidence.attempts.flatMap((attempt) => {
    const run = runsOf.get(attempt.requestId)?.at(-1);
    if (!run || attempt.isWhole || attempt.gaveUpAt !== undefined) return [];
    return isSoundRun(run, evidence) && isSoundWay(attempt, evidence)
      ? [
        `${attempt.requestId}: ${run.worker} answered, ${attempt.gateway} did not (status ${attempt.status})`,
      ]
      : [];
  });
}

/** Whether the worker gave its whole answer and nothing was in the way. */
function isSoundRun(run: WorkerRun, { faults }: Evidence): boolean {
  const leftAt = (run.endedAt ?? Infinity) + LAST_BYTES_MS;
  return run.isWhole && !run.wasCancelled &&
    !faults.wasHit(run.worker, run.startedAt - AFTERMATH_MS, leftAt);
}

/** Whether nothing but planned work befell the gateway, which had the time for it. */
function isSoundWay(attempt: CallerAttempt, evidence: Evidence): boolean {
  const { gateway, sentAt, endedAt } = attempt;
  const until = endedAt ?? Infinity;
  if (evidence.faults.wasHit(gateway, sentAt, until)) return false;
  const latest = BOUNDS.stopWithinMs * STOP_PART;
  return !evidence.stops.some((stop) =>
    stop.gateway === gateway && until > stop.at + latest &&
    sentAt < stop.at + BOUNDS.stopWithinMs + AFTERMATH_MS
  );
}

/** Requests with the lasting key on lasting routes are allowed by every version. */
function judgeDenied({ attempts }: Evidence): string[] {
  return attempts.filter((attempt) =>
    attempt.key === LASTING_KEY && attempt.kind !== "version" &&
    DENIED.has(attempt.status ?? 0)
  ).map((attempt) => `${attempt.requestId} got ${attempt.status}`);
}

/** The runs of each request, in their order. */
export function groupRuns(
  runs: readonly WorkerRun[],
): Map<string, WorkerRun[]> {
  const runsOf = new Map<string, WorkerRun[]>();
  for (const run of runs) {
    const known = runsOf.get(run.requestId) ?? [];
    known.push(run);
    runsOf.set(run.requestId, known);
  }
  return runsOf;
}
