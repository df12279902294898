import {
  MAX_TRACKED_PARTS,
  type TrackedRequest,
} from "../crashes/interrupted_request.ts";
import type { Route } from "../published/configuration_schema.ts";
import type { ResumedStream } from "../streams/stream_record.ts";
import type { HashedPromptPart } from "../upstreams/prefix_index.ts";
import type { CallerHeaders } from "./caller_headers.ts";

/** A request that was read, matched with a route and admitted. */
export interface RoutedCall {
  requestId: string;
  method: string;
  /** Path with the query string, as received. */
  path: string;
  headers: CallerHeaders;
  body: Buffer | undefined;
  /** Equal for identical requests of the same customer. */
  fingerprint: number;
  /** The route at the time when the request arrived. */
  route: Route;
  /** The service chosen from those of the route. */
  service: string;
  /** Customer of the request's key. */
  customer: string | undefined;
  /** Priority class; 0 is the most urgent. */
  urgency: number;
  /** The prompt parts that other requests may share, in order; empty if there are none. */
  sharedParts: readonly HashedPromptPart[];
  /** Monotonic time at which the request arrived, in milliseconds. */
  receivedAt: number;
  /** Monotonic time until which the caller waits, in milliseconds; infinity if it gives no deadline. */
  callerDeadlineAt: number;
  /** The stream that the caller resumes; undefined if the request begins one or is not for a stream. */
  resumed?: ResumedStream;
}

/** Whether a request may run again after an attempt that may have run it.
 * @param call The call. */
export function mayRunAgain(call: Pick<RoutedCall, "route">): boolean {
  return call.route.kind === "repeatable" || isResumableStream(call);
}

/** Whether a request is for a stream that may continue at another upstream.
 * @param call The call. */
export function isResumableStream(
  { route }: Pick<RoutedCall, "route">,
): boolean {
  return route.kind === "stream" && route.isResumable;
}

/** Returns the properties by which calls that crash upstreams are recognized.
 * @param call The call. */
export function toTrackedRequest(
  { requestId, fingerprint, sharedParts }: RoutedCall,
): TrackedRequest {
  const parts = sharedParts.slice(0, MAX_TRACKED_PARTS).map(({ name }) => name);
  return { requestId, fingerprint, parts };
}
