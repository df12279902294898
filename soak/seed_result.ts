import type { CallerAttempt } from "./caller_attempt.ts";
import { type CrashSummary, summarizeCrashes } from "./crashing_requests.ts";
import type { Evidence } from "./evidence.ts";
import type { SoakFleet } from "./soak_fleet.ts";

/** How one run ended. */
export interface SeedResult {
  seed: number;
  /** Breaches of promises, a line each. */
  breaches: string[];
  attempts: number;
  /** How many requests of each kind ended in which way. */
  endings: Record<string, number>;
  /** What requests that crash workers did. */
  crashes: CrashSummary;
  faults: string[];
  /** The requests that breaches name, as callers and workers saw them. */
  evidence: unknown[];
  /** What each gateway logged. */
  logs: Record<string, readonly string[]>;
}

/** Describes how a run ended.
 * @param seed Its seed.
 * @param fleet Its fleet.
 * @param evidence What was seen.
 * @param breaches Breaches of promises, a line each. */
export function describeResult(
  seed: number,
  fleet: SoakFleet,
  evidence: Evidence,
  breaches: string[],
): SeedResult {
  const { attempts, runs } = evidence;
  return {
    seed,
    breaches,
    attempts: attempts.length,
    endings: countEndings(attempts),
    crashes: summarizeCrashes(attempts, runs),
    faults: fleet.faults.windows.map(({ name, targets, from, to }) =>
      `${Math.round(from)}-${Math.round(to ?? Infinity)} ${name} ${targets}`
    ),
    evidence: [...attempts, ...runs].filter(({ requestId }) =>
      isNamed(requestId, breaches)
    ),
    logs: Object.fromEntries(
      fleet.gateways.map((gateway) => [gateway.id, gateway.program.log]),
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

function isNamed(requestId: string, breaches: readonly string[]): boolean {
  return breaches.some((breach) =>
    breach.includes(`${requestId}:`) || breach.includes(`${requestId} `)
  );
}

function getEnding({ gaveUpAt, status, isWhole }: CallerAttempt): string {
  if (gaveUpAt !== undefined) return "given_up";
  if (status === undefined) return "no_answer";
  return isWhole ? String(status) : `${status}_broken`;
}
