import type { DialFailure } from "../network/dial_error.ts";

/** Path of the request that opens a tunnel; the query `upstream` is the hash of the upstream instance. */
export const RELAY_PATH = "/relay";
/** Protocol that the connection is upgraded to: the bytes of the connection to the upstream. */
export const RELAY_PROTOCOL = "beechkeel-relay";
/** Status of the response if the upstream cannot be connected to, by the reason. */
export const RELAY_STATUSES: Readonly<Record<DialFailure, number>> = {
  refused: 502,
  timed_out: 504,
  failed: 503,
};
