import { BodyReader } from "../http/body_reader.ts";
import type { EntryContext, HttpExchange } from "./entry_context.ts";

/** Reads the body of a caller's request within the limits of the settings.
 * @param context Dependencies of the handler.
 * @param exchange The request and its response. */
export function readRequestBody(
  { settings: { limits } }: EntryContext,
  { request, receipt }: HttpExchange,
): Promise<Buffer> {
  return BodyReader.read(request, receipt, {
    maxBytes: limits.maxBodyBytes,
    timeoutMs: limits.requestTimeoutMs,
  });
}
