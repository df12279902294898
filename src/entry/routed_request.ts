import type { Customer } from "../configuration/customer.ts";
import type { RequestIdentity } from "../hashing/request_fingerprint.ts";
import type { Requirement } from "../placement/placement_table.ts";

/** A caller's request after all checks. */
export interface RoutedRequest {
  requestId: string;
  work: "chat" | "call";
  need: Requirement;
  /** What decides the order of upstreams: the chat's key, or the request's id. */
  placementKey: string;
  customer: Customer;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  /** Whether it may run more than once. */
  repeatable: boolean;
  /** Idempotency key, where the caller gave one. */
  key: string | undefined;
  /** Monotonic milliseconds at which the caller no longer waits. */
  deadlineAt: number;
}

/** What makes a request the same as another, sent again.
 * @param request The request. */
export function identify(request: RoutedRequest): RequestIdentity {
  const { method, path, customer, body } = request;
  return { method, path, customer: customer.id, body };
}
