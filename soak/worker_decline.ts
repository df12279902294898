/** One request that a worker declined. Times are monotonic milliseconds of the soak process. */
export interface WorkerDecline {
  requestId: string;
  worker: string;
  at: number;
  /** Backoff that it asked for, in milliseconds; undefined if it asked for none. */
  backoffMs: number | undefined;
}
