/** What operators see of one upstream at a router. */
export interface UpstreamStatus {
  id: string;
  /** Whether this router owns it now. */
  owned: boolean;
  /** Requests this router has running. */
  running: number;
  /** Requests other routers are taken to have running. */
  foreign: number;
  /** Requests that wait. */
  waiting: number;
  /** Requests it may carry now. */
  cap: number;
  /** Whether new work may go to it. */
  takesWork: boolean;
}
