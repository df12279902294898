import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { auditBound } from "./bound_audit.ts";
import { Fleet } from "./fleet.ts";
import { Load, type LoadResult } from "./load.ts";
import { findBrokenPromises } from "./verdict.ts";

const SEED = 42;
const CALM_MS = 5_000;

function say(text: string): void {
  console.log(`[${process.uptime().toFixed(1).padStart(4)} s] ${text}`);
}

/** Prints what happened, from the stand-ins' ledgers and what callers received; returns the broken promises. */
function report(fleet: Fleet, result: LoadResult): string[] {
  const engineRuns = fleet.engines.flatMap((engine) => engine.ledger.runs);
  const serviceRuns = fleet.services.flatMap((service) => service.ledger.runs);
  const prompt = engineRuns.reduce((sum, run) => sum + run.promptTokens, 0);
  const cached = engineRuns.reduce((sum, run) => sum + run.cachedTokens, 0);
  const bound = auditBound(fleet.getEngineLoads(), {
    multiple: 2,
    minimum: 4,
    lagMs: 2_000,
  });
  const broken = findBrokenPromises(result, serviceRuns);
  if (bound.violations > 0) {
    broken.push(
      `${bound.violations} starts on an engine above the set multiple of the mean`,
    );
  }
  const runsPerBooking = new Map<string, number>();
  for (const run of serviceRuns) {
    runsPerBooking.set(run.body, (runsPerBooking.get(run.body) ?? 0) + 1);
  }
  const rows: [string, string | number][] = [
    ["chat answers asked for", result.chats],
    [
      "  whole, and each its caller's own",
      result.wholeChats - result.wrongChats,
    ],
    ["  refused", result.refusedChats],
    ["  visibly broken by the killed router", result.brokenChats],
    [
      "prompt tokens found warm",
      `${(100 * cached / Math.max(1, prompt)).toFixed(1)} %`,
    ],
    ["most in flight on one engine", bound.peak],
    [
      "starts above the set multiple of the mean",
      `${bound.violations} of ${bound.starts}`,
    ],
    ["bookings sent", result.bookings.length],
    [
      "  confirmed",
      result.bookings.filter((booking) =>
        booking.answers.some((answer) => answer.whole)
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
  console.log(`  answers by kind: ${JSON.stringify(result.kinds)}`);
  return broken;
}

say("starting the platform, 6 engines, 3 services and 3 routers as processes");
const fleet = await Fleet.create();
let broken: string[];
try {
  say(
    "chats of two partners' customers return again and again, and bookings come in",
  );
  const load = Load.start({
    seed: SEED,
    routers: () => fleet.routers.map((router) => router.address),
    chats: { "kilima/rosters": 10, "kilima/clinics": 4, "rodar/dispatch": 6 },
    bookers: 6,
    answerTokens: 30,
    openingLength: 4_000,
    pauseMs: [20, 150],
    bookingTries: 4,
    turns: 12,
  });
  await delay(CALM_MS);
  say("killing router r2 in the middle of its work");
  await fleet.routers[1]!.kill();
  await delay(CALM_MS);
  say("starting r2 again; it takes its documents from its peers");
  fleet.routers[1]!.start();
  await fleet.waitUntilServing();
  await delay(CALM_MS / 2);
  say("stopping r3 as planned");
  fleet.routers[2]!.signal("SIGTERM");
  const code = await fleet.routers[2]!.waitForExit();
  say(`r3 ended with exit code ${code}`);
  broken = report(fleet, await load.stop());
} finally {
  await fleet.close();
}
for (const line of broken) console.log(`  NOT HELD: ${line}`);
console.log(
  broken.length === 0
    ? "\nEverything that must hold held."
    : "\nSomething that must hold did not.",
);
process.exitCode = broken.length === 0 ? 0 : 1;
