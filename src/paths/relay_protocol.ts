import type { DialFailure } from "../network/dial_error.ts";

/** Path of the request that opens a tunnel; the query `upstream` is the hash of the upstream instance. The bodies of the
 * request and of its response carry the bytes of the connection, chunked, so that an end can be told from a loss. */
export const RELAY_PATH = "/relay";
/** Status of the response if the upstream cannot be connected to, by the reason. */
export const RELAY_STATUSES: Readonly<Record<DialFailure, number>> = {
  refused: 502,
  timed_out: 504,
  failed: 503,
};

/** Why the upstream cannot be connected to, by the status of the response. */
export const RELAY_FAILURES: ReadonlyMap<number, DialFailure> = new Map([
  [RELAY_STATUSES.refused, "refused"],
  [RELAY_STATUSES.timed_out, "timed_out"],
  [RELAY_STATUSES.failed, "failed"],
]);
