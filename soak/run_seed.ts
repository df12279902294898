import { monitorEventLoopDelay } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import { Random } from "../src/random/random.ts";
import type { Evidence } from "./evidence.ts";
import { ANSWER_JUDGES } from "./judge_answers.ts";
import { TIME_JUDGES } from "./judge_times.ts";
import { describeResult, type SeedResult } from "./seed_result.ts";
import { SoakCaller } from "./soak_caller.ts";
import { SOAK_FAULTS } from "./soak_faults.ts";
import { SoakFleet } from "./soak_fleet.ts";

/** What one run is made of. */
export interface SeedOptions {
  seed: number;
  /** Time in which faults begin, in milliseconds. */
  faultsMs: number;
  /** Whether promises about time are judged too; not beside other load. */
  judgesTimes: boolean;
  /** Gateways, workers and callers, as a multiple of the usual. */
  size: number;
  /** Faults that may come; all where none are named. */
  faults: readonly string[];
}

/** Fault streams that run side by side, so that faults meet. */
const FAULT_STREAMS = 3;
/** Longest pause of a stream between two faults, in milliseconds. */
const FAULT_PAUSE_MS = 900;
/** Usual sizes. */
const USUAL = { gateways: 4, engines: 4, plain: 3, callers: 14 };
/** Longest pause of a caller between two requests, in milliseconds. */
const CALLER_PAUSE_MS = 90;
/** Longest such pause in a burst, in milliseconds. */
const BURST_PAUSE_MS = 8;
/** Time from the begin of one burst to that of the next, in milliseconds. */
const BURST_PERIOD_MS = 6_000;
/** Length of a burst, in milliseconds. */
const BURST_MS = 900;
/** Time after the last fault in which the fleet has to come to serve again, in milliseconds. */
const SETTLE_MS = 12_000;
/** Pause after a calm request that was not served, in milliseconds. */
const SETTLE_STEP_MS = 200;
/** Calm requests of a kind in a row that show that it does. */
const CALM_REQUESTS = 8;

/** Runs a fleet under random faults, and judges what callers and workers saw.
 * @param options What the run is made of. */
export async function runSeed(options: SeedOptions): Promise<SeedResult> {
  const fleet = await SoakFleet.create({
    seed: options.seed,
    gateways: USUAL.gateways * options.size,
    engines: USUAL.engines * options.size,
    plain: USUAL.plain * options.size,
  });
  const lag = monitorEventLoopDelay();
  lag.enable();
  try {
    const random = Random.create(options.seed);
    await runFaults(fleet, random, options);
    const unsettled = await settle(fleet, random);
    const evidence = { ...fleet, lagMs: lag.max / 1e6 };
    const breaches = [...unsettled, ...judge(evidence, options.judgesTimes)];
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
    () => runStream(fleet, random.fork(), endsAt, options.faults),
  );
  await Promise.all(streams);
  isOver = true;
  await Promise.all(calling);
}

function createCallers(
  fleet: SoakFleet,
  random: Random,
  { seed, size }: SeedOptions,
): SoakCaller[] {
  return Array.from({ length: USUAL.callers * size }, (_, index) => {
    const name = `s${seed}-c${index}`;
    const isStubborn = index % 2 === 0;
    return SoakCaller.create(name, fleet, random.fork(), isStubborn);
  });
}

function getPauseMs(): number {
  const isBurst = performance.now() % BURST_PERIOD_MS < BURST_MS;
  return isBurst ? BURST_PAUSE_MS : CALLER_PAUSE_MS;
}

async function runStream(
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

/** Waits until calm requests of each kind are served; returns a line where they are not in time. */
async function settle(
  fleet: SoakFleet,
  random: Random,
): Promise<string[]> {
  const caller = SoakCaller.create("settle", fleet, random, false);
  const endsAt = performance.now() + SETTLE_MS;
  let inRow = 0;
  while (inRow < CALM_REQUESTS) {
    if (performance.now() > endsAt) return ["the fleet does not serve again"];
    const look = await caller.sendCalmly("look");
    const chat = await caller.sendCalmly("chat");
    const isServed = look?.status === 200 && chat?.isWhole === true;
    inRow = isServed ? inRow + 1 : 0;
    if (!isServed) await delay(SETTLE_STEP_MS);
  }
  return [];
}

function judge(evidence: Evidence, judgesTimes: boolean): string[] {
  const judges = { ...ANSWER_JUDGES, ...(judgesTimes ? TIME_JUDGES : {}) };
  return Object.entries(judges).flatMap(([promise, find]) =>
    find(evidence).map((breach) => `${promise}: ${breach}`)
  );
}
