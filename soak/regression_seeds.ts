/** A seed that once found a broken promise, and is run again in CI. */
export interface RegressionSeed {
  seed: number;
  /** Time in which faults begin, in seconds. */
  seconds: number;
  /** The faults among which the seed drew; another list would give another run. */
  faults: readonly string[];
  /** What was wrong. */
  cause: string;
}

/** The faults that there were when the first seeds failed, in their order. */
export const FIRST_FAULTS: readonly string[] = [
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

/** The faults that there were then, and those of workers that start again. */
const LATER_FAULTS: readonly string[] = [
  ...FIRST_FAULTS,
  "sendCrashingRequest",
  "restartWorker",
  "spoilEntry",
];

/** Faults of workers that say whether they take requests. */
export const AVAILABILITY_FAULTS: readonly string[] = [
  "turnAway",
  "leaveByAnswers",
  "misbehaveWorker",
  "restartWorker",
];

/** Seeds that failed. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 5,
    seconds: 20,
    faults: FIRST_FAULTS,
    cause:
      "a second SIGTERM ended a gateway that was stopping; and two faults of the stand-ins: the proxy passed resets on " +
      "as plain ends, and a worker sent surplus bytes after an answer without a length",
  },
  {
    seed: 8019,
    seconds: 12,
    faults: LATER_FAULTS,
    cause:
      "a fault of the stand-ins: bytes that the proxy passed after a delay had ended overtook those that it still held up",
  },
];
