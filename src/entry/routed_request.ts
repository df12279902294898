import type { Customer } from "../configuration/customer.ts";
import type { RequestIdentity } from "../hashing/request_fingerprint.ts";
import type { Requirement } from "../placement/placement_table.ts";

/** A validated request of a caller. */
export interface RoutedRequest {
  requestId: string;
  work: "chat" | "call";
  requirement: Requirement;
  /** Determines the order of candidate upstreams: the key of the chat, or the id of the request. */
  placementKey: string;
  customer: Customer;
  /** Hashes of the prompt parts that other requests may share; empty for calls of services. */
  promptParts: readonly number[];
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  /** Whether the request may run more than once. */
  repeatable: boolean;
  /** Whether the response is passed on as it arrives, so that its caller can't have it continued elsewhere. */
  isStreamed: boolean;
  /** Idempotency key, if the caller sent one. */
  key: string | undefined;
  /** Monotonic time in milliseconds of its arrival. */
  receivedAt: number;
  /** Monotonic time in milliseconds of the caller's deadline. */
  deadlineAt: number;
  /** Size of the response that the caller expects; undefined if it names none. */
  lengthHint?: number;
}

/** Returns the parts of a request that are equal when it is sent again.
 * @param request The request. */
export function getRequestIdentity(request: RoutedRequest): RequestIdentity {
  const { method, path, customer, body } = request;
  return { method, path, customer: customer.id, body };
}
