import type { Route } from "../published/configuration_schema.ts";
import type { SentPart } from "../upstreams/prefix_index.ts";
import type { CallerHeaders } from "./caller_headers.ts";

/** A request that was read, matched and allowed. */
export interface RoutedCall {
  requestId: string;
  method: string;
  /** Path with its query, as received. */
  path: string;
  headers: CallerHeaders;
  body: Buffer | undefined;
  /** Equal for requests that ask the same for the same customer. */
  fingerprint: number;
  /** The route as it was when the request came. */
  route: Route;
  /** Service chosen among the route's. */
  service: string;
  /** Customer of the request's key. */
  customer: string | undefined;
  /** 0 is the most urgent. */
  urgency: number;
  /** The prompt's parts that other requests share, in order; empty where it shares nothing. */
  sharedParts: readonly SentPart[];
  /** Monotonic milliseconds at which the request came. */
  receivedAt: number;
  /** Monotonic milliseconds up to which the caller waits; infinity where it does not tell. */
  callerEndsAt: number;
}

/** Whether a call may run again after it may have run.
 * @param call The call. */
export function mayRunAgain(call: RoutedCall): boolean {
  if (call.route.kind === "repeatable") return true;
  return call.route.kind === "stream" && call.route.isResumable;
}
