import { hashText } from "../hashing/hasher.ts";

/** Where a stream began. It can only continue there, since what two services or two software versions write does not
 * fit together. */
export interface StreamOrigin {
  service: string;
  /** Undefined if it is not certain; the stream can't continue then. */
  softwareVersion: string | undefined;
}

/** What hosts know of a stream. */
export interface StreamRecord extends StreamOrigin {
  /** Number of the origins that its host has recorded for it: until the first event, an attempt at another upstream may
   * begin it elsewhere. The highest number is valid. */
  order: number;
}

/** A stream that a caller resumes. */
export interface ResumedStream {
  /** Key under which other hosts know it; undefined if the caller does not name the request that began it. */
  key: number | undefined;
  record: StreamRecord;
}

/** Range of the second hash of a key: both together fit into an exact (safe) integer. */
const SECOND_HASH_RANGE = 2 ** 21;

/** Returns the key of a stream. The same id of two customers has different keys, so that a customer can't reach the
 * streams of another one.
 * @param customer Customer of the request; undefined if the route needs no API key.
 * @param requestId Id of the request that began the stream. */
export function createStreamKey(
  customer: string | undefined,
  requestId: string,
): number {
  const text = JSON.stringify([customer, requestId]);
  const second = hashText(text, 1) % SECOND_HASH_RANGE;
  return hashText(text) * SECOND_HASH_RANGE + second;
}
