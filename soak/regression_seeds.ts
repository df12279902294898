import type { LoadKind } from "./worker_load.ts";

/** A seed that found a fault and is run in CI as a regression test. */
export interface RegressionSeed {
  seed: number;
  /** Time during which faults are injected, in seconds. */
  seconds: number;
  /** Faults that the seed draws from; a different list would give a different run. */
  faults: readonly string[];
  /** How the workers are loaded; steadily by default. */
  load?: LoadKind;
  /** Cause of the failure, printed in the title of the test. */
  cause: string;
}

/** Faults that existed when the first seeds failed. The order determines what a seed draws. */
export const INITIAL_FAULTS: readonly string[] = [
  "killGateway",
  "killManyGateways",
  "stopGateway",
  "stopInTurn",
  "reloadGateway",
  "freezeGateway",
  "troubleStore",
  "cutFromStore",
  "cutWorker",
  "misbehaveWorker",
  "crashWorker",
  "replaceWorker",
  "changeConfiguration",
];

/** The initial faults, with crashing requests, restarts of workers and invalid entries. */
const EXTENDED_FAULTS: readonly string[] = [
  ...INITIAL_FAULTS,
  "sendCrashingRequest",
  "restartWorker",
  "spoilEntry",
];

/** Faults of workers that announce their availability, and those combined with them. */
export const AVAILABILITY_FAULTS: readonly string[] = [
  "turnAway",
  "leaveByAnswers",
  "misbehaveWorker",
  "restartWorker",
];

/** Faults that are combined with hard load. */
const HARD_LOAD_FAULTS: readonly string[] = [
  "killGateway",
  "stopGateway",
  "misbehaveWorker",
];

/** Seeds that once failed. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 5,
    seconds: 20,
    faults: INITIAL_FAULTS,
    cause:
      "a second SIGTERM ended a gateway that was stopping; and two faults of the fakes: the proxy forwarded resets " +
      "as plain ends, and a worker sent surplus bytes after a response without a length",
  },
  {
    seed: 8019,
    seconds: 12,
    faults: EXTENDED_FAULTS,
    cause:
      "a fault of the stand-ins: bytes that the proxy passed after a delay had ended overtook those that it still held up",
  },
  {
    seed: 5901,
    seconds: 10,
    faults: HARD_LOAD_FAULTS,
    load: "hard",
    cause:
      "the response of a silent worker was dropped once the request had been sent elsewhere; no slowdown is reported",
  },
  {
    seed: 5902,
    seconds: 10,
    faults: HARD_LOAD_FAULTS,
    load: "hard_reported",
    cause:
      "the response of a silent worker was dropped once the request had been sent elsewhere; slowdowns are reported",
  },
];
