import { BodyReader } from "../http/body_reader.ts";
import type { CutRequest } from "./drain_admission.ts";
import type { EntryContext, HttpExchange } from "./entry_context.ts";

/** Reads the body of a caller's request within the limits of the settings, and until the router has stopped.
 * @param context Dependencies of the handler.
 * @param exchange The request and its response.
 * @param arrived Identifies the request in the log. */
export function readRequestBody(
  { settings: { limits }, drain }: EntryContext,
  { request, receipt }: HttpExchange,
  arrived: CutRequest,
): Promise<Buffer> {
  return drain.waitUntilEnd(
    arrived,
    BodyReader.read(request, receipt, {
      maxBytes: limits.maxBodyBytes,
      timeoutMs: limits.requestTimeoutMs,
    }),
  );
}
