import type { AttemptRequest } from "./attempt.ts";
import type { HeaderCodec, UpstreamHeaders } from "./caller_headers.ts";
import type { RoutedCall } from "./routed_call.ts";

/** Builds what an attempt sends.
 * @param call The call.
 * @param own What differs from attempt to attempt.
 * @param codec Writes the headers. */
export function buildAttemptRequest(
  call: RoutedCall,
  own: Omit<UpstreamHeaders, "customer" | "urgency">,
  codec: HeaderCodec,
): AttemptRequest {
  const { method, path, body, requestId, customer } = call;
  const urgency = call.headers.prompt ? call.urgency : undefined;
  const headers = codec.writeUpstream(call.headers, {
    ...own,
    customer,
    urgency,
  });
  return { method, path, body, requestId, headers };
}
