import { fingerprintRequest } from "../hashing/request_fingerprint.ts";
import type { ResumedStream } from "../streams/stream_record.ts";
import type { AdmittedCall } from "./admit_call.ts";
import type { RoutedCall } from "./routed_call.ts";

/** Builds the call of a request; a resumed stream stays at the service that began it.
 * @param admitted The admitted call.
 * @param bytes The body of the request.
 * @param resumed The stream that it resumes; undefined if it resumes none. */
export function buildRoutedCall(
  admitted: AdmittedCall,
  bytes: Buffer,
  resumed: ResumedStream | undefined,
): RoutedCall {
  const body = bytes.length > 0 ? bytes : undefined;
  const { method, path, customer, headers: { host } } = admitted;
  const identity = { method, host, path, customer, body };
  return {
    ...admitted,
    service: resumed?.record.service ?? admitted.service,
    body,
    fingerprint: fingerprintRequest(identity),
    resumed,
  };
}
