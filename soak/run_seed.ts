import { monitorEventLoopDelay } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import { Random } from "../src/random/random.ts";
import type { Evidence } from "./evidence.ts";
import { runHardLoad } from "./hard_load.ts";
import { LOAD_INVARIANTS } from "./load_invariants.ts";
import { RESPONSE_INVARIANTS } from "./response_invariants.ts";
import { TIMING_INVARIANTS } from "./timing_invariants.ts";
import { describeResult, type SeedResult } from "./seed_result.ts";
import { SoakCaller } from "./soak_caller.ts";
import { SOAK_FAULTS } from "./soak_faults.ts";
import { SoakFleet } from "./soak_fleet.ts";
import type { LoadKind } from "./worker_load.ts";

/** Options of one run. */
export interface SeedOptions {
  seed: number;
  /** Time during which faults are injected, in milliseconds. */
  faultsMs: number;
  /** Whether the invariants about timing are checked too, which needs a machine without other load. */
  checksTiming: boolean;
  /** Factor on the base numbers of gateways, workers and callers. */
  size: number;
  /** Names of the faults to inject; all faults if empty. */
  faults: readonly string[];
  /** How the workers are loaded. */
  load: LoadKind;
}

/** Number of concurrent fault streams, so that faults overlap. */
const FAULT_STREAMS = 3;
/** Longest pause of a stream between two faults, in milliseconds. */
const FAULT_PAUSE_MS = 900;
/** Numbers of gateways, workers and callers in a run of size 1. */
const BASE_SIZE = { gateways: 4, engines: 4, plain: 3, callers: 14 };
/** Number of callers beside those of the competing customers in a run of size 1 under hard load. */
const HARD_LOAD_CALLERS = 5;
/** Longest pause of a caller between two requests, in milliseconds. */
const CALLER_PAUSE_MS = 90;
/** Longest pause of a caller between two requests during a burst, in milliseconds. */
const BURST_PAUSE_MS = 8;
/** Time from the start of one burst to the start of the next, in milliseconds. */
const BURST_PERIOD_MS = 6_000;
/** Duration of a burst, in milliseconds. */
const BURST_MS = 900;
/** Time after the last fault within which the fleet must serve again, in milliseconds. */
const RECOVERY_TIMEOUT_MS = 12_000;
/** Pause after a recovery request that was not served, in milliseconds. */
const RECOVERY_RETRY_MS = 200;
/** Consecutive rounds of successful requests that show that the fleet has recovered. */
const REQUIRED_SUCCESSES = 8;

/** Runs a fleet under random faults and checks the invariants on what callers and workers saw.
 * @param options Options of the run. */
export async function runSeed(options: SeedOptions): Promise<SeedResult> {
  const fleet = await SoakFleet.create({
    seed: options.seed,
    gateways: BASE_SIZE.gateways * options.size,
    engines: BASE_SIZE.engines * options.size,
    plain: BASE_SIZE.plain * options.size,
    load: options.load,
  });
  const lag = monitorEventLoopDelay();
  lag.enable();
  try {
    const random = Random.create(options.seed);
    await runFaults(fleet, random, options);
    const recoveryBreaches = await waitForRecovery(fleet, random);
    const evidence = { ...fleet, lagMs: lag.max / 1e6 };
    const breaches = [
      ...recoveryBreaches,
      ...checkInvariants(evidence, options.checksTiming),
    ];
    return describeResult(options.seed, fleet, evidence, breaches);
  } finally {
    lag.disable();
    await fleet.close();
  }
}

async function runFaults(
  fleet: SoakFleet,
  random: Random,
  options: SeedOptions,
): Promise<void> {
  let isOver = false;
  const callers = createCallers(fleet, random, options);
  const calling = callers.map((caller) => caller.run(() => isOver, getPauseMs));
  const endsAt = performance.now() + options.faultsMs;
  const streams = Array.from(
    { length: FAULT_STREAMS },
    () => runFaultStream(fleet, random.fork(), endsAt, options.faults),
  );
  const hardLoad = options.load === "steady"
    ? undefined
    : runHardLoad(fleet, options.size, options.faultsMs);
  await Promise.all([...streams, hardLoad]);
  isOver = true;
  await Promise.all(calling);
}

function createCallers(
  fleet: SoakFleet,
  random: Random,
  { seed, size, load }: SeedOptions,
): SoakCaller[] {
  const count = load === "steady" ? BASE_SIZE.callers : HARD_LOAD_CALLERS;
  return Array.from({ length: count * size }, (_, index) => {
    const name = `s${seed}-c${index}`;
    const reusesConnections = index % 2 === 0;
    return SoakCaller.create(name, fleet, random.fork(), reusesConnections);
  });
}

function getPauseMs(): number {
  const isBurst = performance.now() % BURST_PERIOD_MS < BURST_MS;
  return isBurst ? BURST_PAUSE_MS : CALLER_PAUSE_MS;
}

async function runFaultStream(
  fleet: SoakFleet,
  random: Random,
  endsAt: number,
  chosen: readonly string[],
): Promise<void> {
  const names = chosen.length > 0 ? chosen : Object.keys(SOAK_FAULTS);
  while (performance.now() < endsAt) {
    await delay(random.integer(1, FAULT_PAUSE_MS));
    const name = random.pick(names);
    await SOAK_FAULTS[name]!(fleet, random);
  }
}

/** Waits until a plain request and a stream are served several times in a row. Returns a breach if this takes too
 * long. */
async function waitForRecovery(
  fleet: SoakFleet,
  random: Random,
): Promise<string[]> {
  const caller = SoakCaller.create("settle", fleet, random, false);
  const endsAt = performance.now() + RECOVERY_TIMEOUT_MS;
  let successes = 0;
  while (successes < REQUIRED_SUCCESSES) {
    if (performance.now() > endsAt) return ["the fleet does not serve again"];
    const look = await caller.sendToEnd("look");
    const chat = await caller.sendToEnd("chat");
    const isServed = look?.status === 200 && chat?.isWhole === true;
    successes = isServed ? successes + 1 : 0;
    if (!isServed) await delay(RECOVERY_RETRY_MS);
  }
  return [];
}

function checkInvariants(evidence: Evidence, checksTiming: boolean): string[] {
  const checks = {
    ...RESPONSE_INVARIANTS,
    ...LOAD_INVARIANTS,
    ...(checksTiming ? TIMING_INVARIANTS : {}),
  };
  return Object.entries(checks).flatMap(([invariant, check]) =>
    check(evidence).map((breach) => `${invariant}: ${breach}`)
  );
}
