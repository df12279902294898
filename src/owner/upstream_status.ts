/** The status of one upstream at a router, as shown to operators. */
export interface UpstreamStatus {
  id: string;
  /** Whether this router owns the upstream. */
  owned: boolean;
  /** Requests that this router has running. */
  running: number;
  /** Estimated requests that other routers have running. */
  foreign: number;
  /** Queued requests. */
  waiting: number;
  /** Maximum number of requests that the upstream may have in flight now. */
  cap: number;
  /** Whether the upstream accepts new work. */
  takesWork: boolean;
}
