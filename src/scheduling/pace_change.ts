import type { PaceEnd } from "./recovery_pace.ts";

/** Why the requests to an upstream are paced. */
export type PaceCause =
  /** It is a new instance. */
  | "started"
  /** It could not get requests for a while. */
  | "recovered";

/** Change of the pace of an upstream, with the inputs that caused it. */
export type PaceChange =
  | { type: "started"; cause: PaceCause; limit: number }
  | {
    type: "changed";
    limit: number;
    before: number;
    /** Requests of all hosts on the upstream. */
    requests: number;
    /** Mean requests on the upstreams of the service that are not paced. */
    peerRequests: number;
    /** Time to the last first event relative to the longest tolerated one; undefined if there was none. */
    strain: number | undefined;
  }
  | { type: "ended"; reason: PaceEnd; limit: number; durationMs: number };
