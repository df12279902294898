import type { Failure } from "../errors/failure.ts";

/** How the callers' connections of a process that stops are ended. */
export interface Departure {
  /** Refusal of the requests that arrive from now on. */
  refusal: Failure;
  /** Time for which an idle connection is kept for a request that is on its way, in milliseconds. */
  settleMs: number;
  /** Time for which a connection without unsent bytes is kept until its caller closes it, in milliseconds. */
  lingerMs: number;
}
