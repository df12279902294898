import type { IncomingMessage } from "node:http";
import { Failure } from "../errors/failure.ts";

/** Reads the body of a request; throws if it exceeds the limit or ends early.
 * @param request The request.
 * @param maxBytes Maximum size of the body. */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer> {
  const declaredLength = Number(request.headers["content-length"] ?? 0);
  if (declaredLength > maxBytes) throw createTooLargeFailure(maxBytes);
  const chunks: Buffer[] = [];
  let size = 0;
  // Keeps the connection open, so that the failure can still be sent.
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    size += chunk.length;
    if (size > maxBytes) throw createTooLargeFailure(maxBytes);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function createTooLargeFailure(maxBytes: number): Failure {
  return Failure.create(
    "request_too_large",
    `body: more than ${maxBytes} bytes`,
  );
}
