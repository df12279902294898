/** What a witness remembers of an idempotency key. */
export interface KeyRecord {
  /** Hash of the request the key came with. */
  fingerprint: string;
  /** The one attempt that may run. */
  attempt: string;
  /** Router that makes the attempt. */
  holder: string;
}
