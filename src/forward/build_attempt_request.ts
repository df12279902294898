import type { AttemptRequest } from "./attempt.ts";
import type { HeaderCodec, UpstreamHeaders } from "./caller_headers.ts";
import { mayRunAgain, type RoutedCall } from "./routed_call.ts";

/** Builds the request that an attempt sends.
 * @param call The call.
 * @param attemptHeaders The values that differ between attempts.
 * @param codec Writes the headers. */
export function buildAttemptRequest(
  call: RoutedCall,
  attemptHeaders: Omit<UpstreamHeaders, "customer" | "urgency">,
  codec: HeaderCodec,
): Omit<AttemptRequest, "continuesStream"> {
  const { method, path, body, requestId, customer } = call;
  const urgency = call.headers.prompt ? call.urgency : undefined;
  const headers = codec.writeUpstream(call.headers, {
    ...attemptHeaders,
    customer,
    urgency,
  });
  return {
    method,
    path,
    body,
    requestId,
    headers,
    mayRunAgain: mayRunAgain(call),
  };
}
