/** Bounds that the gateways of a soak run get in their settings, with times in milliseconds. */
export const BOUNDS = {
  /** Time after which a leaving worker must receive no new requests. */
  leaveWithinMs: 1_500,
  /** Longest duration of a graceful stop. */
  stopWithinMs: 5_000,
  /** Time after which a revoked API key must no longer be accepted. */
  revokeWithinMs: 4_000,
  /** Retry budget of a service: retries allowed per window as a share of its requests, plus a fixed number. */
  retryRatio: 0.2,
  retryWindowMs: 10_000,
  retryExtra: 60,
} as const;

/** Time after a route's timeout by which the final response must have arrived, in milliseconds. */
export const FINAL_RESPONSE_GRACE_MS = 500;
/** Time after a caller has disconnected by which work on its request must have ended, in milliseconds. */
export const CANCEL_TIMEOUT_MS = 500;
/** Time for which a leaving worker keeps serving once it must receive no new requests, in milliseconds. */
export const WORKER_DRAIN_MS = 1_000;
/** Time after a fault in which its targets may still be affected, in milliseconds: a lost connection is retried after
 * a few hundred milliseconds. */
export const FAULT_RECOVERY_MS = 400;
/** Time that a caller waits for a response beyond the route's timeout, in milliseconds. */
export const RESPONSE_MARGIN_MS = 4_000;
/** Time for which a response and what ends its request may cross each other on their way, in milliseconds. */
export const CROSSING_MS = 100;
