/** One request as a worker turned it away, in monotonic milliseconds of the soak's process. */
export interface WorkerDecline {
  requestId: string;
  worker: string;
  at: number;
  /** Time without requests that it asked for, in milliseconds; undefined where it named none. */
  backoffMs: number | undefined;
}
