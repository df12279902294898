/** Progress of a call that is not finished. */
export interface CallProgress {
  /** Upstream of the current attempt; undefined if there is none. */
  upstream: string | undefined;
  /** Whether an upstream may have run the request. */
  wasSent: boolean;
  /** Number of events forwarded to the caller. */
  events: number;
  /** Number of upstreams that were chosen for attempts. */
  attempts: number;
  /** Time since the request arrived, in milliseconds. */
  hadMs: number;
  /** Time until the deadline, in milliseconds. */
  remainingMs: number;
}

/** How a stop of the process ends a call: as not run, with an error, or within its response. */
export type StopEnd = "refused" | "failed" | "cut";
