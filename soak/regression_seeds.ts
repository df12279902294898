/** A seed that once found a broken promise, and is run again in CI. */
export interface RegressionSeed {
  seed: number;
  /** Time in which faults begin, in seconds. */
  seconds: number;
  /** What was wrong. */
  cause: string;
}

/** Seeds that failed. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 5,
    seconds: 20,
    cause:
      "a second SIGTERM ended a gateway that was stopping; and two faults of the stand-ins: the proxy passed resets on " +
      "as plain ends, and a worker sent surplus bytes after an answer without a length",
  },
];
