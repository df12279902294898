/** The bounds that the soak's gateways get in their settings, times in milliseconds. */
export const BOUNDS = {
  /** Time after which a leaving worker may get no new work. */
  leaveWithinMs: 1_500,
  /** Time that a planned stop may take. */
  stopWithinMs: 5_000,
  /** Time after which a key that was taken away is no longer honoured. */
  keyBeliefMs: 4_000,
  /** Retries of a service allowed in a window, as a part of its requests there and beyond that part. */
  retryRatio: 0.2,
  retryWindowMs: 10_000,
  retryExtra: 60,
} as const;

/** Time beyond a route's time-out by which a final answer has to be there, in milliseconds. */
export const FINAL_ANSWER_MS = 500;
/** Time after a caller has left by which its work has to be over, in milliseconds. */
export const CANCEL_MS = 500;
/** Time for which a worker serves on after it may get no new work, in milliseconds. */
export const LINGER_MS = 1_000;
/** Time after a fault in which what it hit may still show it, in milliseconds: a lost connection is tried again after
 * some hundred milliseconds. */
export const AFTERMATH_MS = 400;
