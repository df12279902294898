/** A witness's record of an idempotency key. */
export interface KeyRecord {
  /** Hash of the request that carried the key. */
  fingerprint: string;
  /** Id of the only attempt that may run. */
  attempt: string;
  /** Id of the router that makes the attempt. */
  holder: string;
}
