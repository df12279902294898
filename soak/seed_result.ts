import type { CallerAttempt } from "./caller_attempt.ts";
import { type CrashSummary, summarizeCrashes } from "./crashing_requests.ts";
import type { Evidence } from "./evidence.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import { type ResumeSummary, summarizeResumes } from "./stream_versions.ts";
import type { LoadKind } from "./worker_load.ts";

/** Result of one run. */
export interface SeedResult {
  seed: number;
  /** How the workers were loaded. */
  load: LoadKind;
  /** Breaches of invariants, one line each. */
  breaches: string[];
  /** Longest event loop delay of the soak process, in milliseconds. */
  lagMs: number;
  attempts: number;
  /** Number of attempts by kind and outcome. */
  endings: Record<string, number>;
  /** Summary of the crashing requests. */
  crashes: CrashSummary;
  resumes: ResumeSummary;
  faults: string[];
  /** Attempts and runs of the requests named in breaches. */
  evidence: unknown[];
  /** Log lines of each gateway, by its id. */
  logs: Record<string, readonly string[]>;
}

/** Builds the result of a run.
 * @param seed Seed of the run.
 * @param fleet Fleet of the run.
 * @param evidence What callers, workers and the store saw.
 * @param breaches Breaches of invariants, one line each. */
export function describeResult(
  seed: number,
  fleet: SoakFleet,
  evidence: Evidence,
  breaches: string[],
): SeedResult {
  const { attempts, runs } = evidence;
  return {
    seed,
    load: fleet.load,
    breaches,
    lagMs: Math.round(evidence.lagMs),
    attempts: attempts.length,
    endings: countEndings(attempts),
    crashes: summarizeCrashes(attempts, runs),
    resumes: summarizeResumes(attempts),
    faults: fleet.faults.windows.map(({ name, targets, from, to }) =>
      `${Math.round(from)}-${Math.round(to ?? Infinity)} ${name} ${targets}`
    ),
    evidence: [...attempts, ...runs].filter(({ requestId }) =>
      isMentioned(requestId, breaches)
    ),
    logs: Object.fromEntries(
      fleet.gateways.map((gateway) => [gateway.id, gateway.program.logLines]),
    ),
  };
}

function countEndings(
  attempts: readonly CallerAttempt[],
): Record<string, number> {
  const endings: Record<string, number> = {};
  for (const attempt of attempts) {
    const ending = `${attempt.kind}/${getEnding(attempt)}`;
    endings[ending] = (endings[ending] ?? 0) + 1;
  }
  return endings;
}

function isMentioned(requestId: string, breaches: readonly string[]): boolean {
  return breaches.some((breach) =>
    breach.includes(`${requestId}:`) || breach.includes(`${requestId} `)
  );
}

function getEnding({ gaveUpAt, status, isWhole }: CallerAttempt): string {
  if (gaveUpAt !== undefined) return "given_up";
  if (status === undefined) return "no_answer";
  return isWhole ? String(status) : `${status}_broken`;
}
