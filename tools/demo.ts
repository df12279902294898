import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { auditBound } from "./bound_audit.ts";
import { Fleet } from "./fleet.ts";
import { LoadGenerator, type LoadResult } from "./load.ts";
import { findInvariantViolations } from "./verdict.ts";

const SEED = 42;
const PHASE_MS = 5_000;

function logStep(text: string): void {
  console.log(`[${process.uptime().toFixed(1).padStart(4)} s] ${text}`);
}

/** Prints a summary from the ledgers of the fake upstreams and the responses that callers received; returns the
 * violations of invariants. */
function printReport(fleet: Fleet, result: LoadResult): string[] {
  const engineRuns = fleet.engines.flatMap((engine) => engine.ledger.runs);
  const serviceRuns = fleet.services.flatMap((service) => service.ledger.runs);
  const prompt = engineRuns.reduce((sum, run) => sum + run.promptTokens, 0);
  const cached = engineRuns.reduce((sum, run) => sum + run.cachedTokens, 0);
  const bound = auditBound(fleet.getEngineLoadHistories(), {
    multiple: 2,
    minimum: 4,
    lagMs: 2_000,
  });
  const violations = findInvariantViolations(result, serviceRuns);
  if (bound.violations > 0) {
    violations.push(
      `${bound.violations} requests started on an engine above the load bound`,
    );
  }
  const runsPerBooking = new Map<string, number>();
  for (const run of serviceRuns) {
    runsPerBooking.set(run.body, (runsPerBooking.get(run.body) ?? 0) + 1);
  }
  const rows: [string, string | number][] = [
    ["chat requests sent", result.chatRequests],
    [
      "  complete, with the expected text",
      result.completeChats - result.mismatchedChats,
    ],
    ["  refused", result.refusedChats],
    [
      "  failed, visibly to the caller",
      result.failedChats,
    ],
    [
      "prompt tokens served from cache",
      `${(100 * cached / Math.max(1, prompt)).toFixed(1)} %`,
    ],
    ["maximum in flight on one engine", bound.peakInFlight],
    [
      "starts above the load bound",
      `${bound.violations} of ${bound.starts}`,
    ],
    ["bookings sent", result.bookings.length],
    [
      "  confirmed",
      result.bookings.filter((booking) =>
        booking.responses.some((response) => response.isComplete)
      ).length,
    ],
    [
      "  run more than once",
      [...runsPerBooking.values()].filter((count) => count > 1).length,
    ],
    [
      "runs per engine",
      fleet.engines.map((engine) => engine.ledger.runs.length).join(" "),
    ],
  ];
  console.log();
  for (const [name, value] of rows) console.log(`  ${name.padEnd(44)}${value}`);
  console.log(`  responses by kind: ${JSON.stringify(result.responsesByKind)}`);
  return violations;
}

logStep(
  "starting the platform, 6 engines, 3 services and 3 routers as processes",
);
const fleet = await Fleet.create();
let violations: string[];
try {
  logStep(
    "customers of two partners send multi-turn chats and bookings",
  );
  const load = LoadGenerator.start({
    seed: SEED,
    routers: () => fleet.routers.map((router) => router.address),
    chatsByCustomer: {
      "kilima/rosters": 10,
      "kilima/clinics": 4,
      "rodar/dispatch": 6,
    },
    bookingLoops: 6,
    responseTokens: 30,
    firstMessageLength: 4_000,
    pauseMs: [20, 150],
    maxBookingAttempts: 4,
    turnsPerChat: 12,
  });
  await delay(PHASE_MS);
  logStep("killing router r2 under load");
  await fleet.routers[1]!.kill();
  await delay(PHASE_MS);
  logStep("restarting r2; it fetches its documents from its peers");
  fleet.routers[1]!.start();
  await fleet.waitUntilServing();
  await delay(PHASE_MS / 2);
  logStep("draining and stopping r3");
  fleet.routers[2]!.signal("SIGTERM");
  const exitCode = await fleet.routers[2]!.waitForExit();
  logStep(`r3 exited with code ${exitCode}`);
  violations = printReport(fleet, await load.stop());
} finally {
  await fleet.close();
}
for (const line of violations) console.log(`  VIOLATION: ${line}`);
console.log(
  violations.length === 0
    ? "\nAll invariants held."
    : "\nSome invariants were violated.",
);
process.exitCode = violations.length === 0 ? 0 : 1;
