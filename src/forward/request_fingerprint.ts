import { createHash } from "node:crypto";

/** Bytes of the hash that are used: as many as a number holds exactly. Beside a thousand remembered requests one in some
 * 2^38 others has the same fingerprint as one of them. */
const FINGERPRINT_BYTES = 6;

/** What makes two requests the same one, sent again. */
export interface RequestIdentity {
  method: string;
  /** Host that the request names. */
  host: string | undefined;
  /** Path with its query. */
  path: string;
  /** Customer of the request's key, where it has one. */
  customer: string | undefined;
  body: Buffer | undefined;
}

/** Computes a number that is equal for requests which ask the same for the same customer, whatever their ids and times.
 * @param identity What makes them the same. */
export function fingerprintRequest(identity: RequestIdentity): number {
  const { method, host, path, customer, body } = identity;
  const hash = createHash("sha1");
  // Separated by a sign that none of them can hold, so that no two identities run into the same text.
  hash.update(`${method}\n${host ?? ""}\n${path}\n${customer ?? ""}\n`);
  if (body) hash.update(body);
  return hash.digest().readUIntBE(0, FINGERPRINT_BYTES);
}

/** Writes a fingerprint for the log.
 * @param fingerprint The fingerprint. */
export function describeFingerprint(fingerprint: number): string {
  return fingerprint.toString(16).padStart(FINGERPRINT_BYTES * 2, "0");
}
