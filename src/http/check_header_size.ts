import type { IncomingMessage } from "node:http";
import { Failure } from "../errors/failure.ts";

/** Checks the size of a request's target and headers.
 * @param request The request.
 * @param maxBytes Maximum number of bytes.
 * @throws Failure if they are larger. */
export function checkHeaderSize(
  request: IncomingMessage,
  maxBytes: number,
): void {
  const bytes = request.rawHeaders.reduce(
    (sum, part) => sum + part.length + 2,
    (request.url ?? "").length,
  );
  if (bytes > maxBytes) {
    throw Failure.create("headers_too_large", `${bytes} bytes`);
  }
}
