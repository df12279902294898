import type { IncomingMessage } from "node:http";
import { Failure } from "../errors/failure.ts";

/** Reads a request's body; throws a failure where it exceeds the limit or breaks off.
 * @param request The request.
 * @param maxBytes Most bytes taken. */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer> {
  const announced = Number(request.headers["content-length"] ?? 0);
  if (announced > maxBytes) throw tooLarge(maxBytes);
  const parts: Buffer[] = [];
  let size = 0;
  // The connection stays open, so that a refusal can still be written to it.
  for await (const part of request.iterator({ destroyOnReturn: false })) {
    size += part.length;
    if (size > maxBytes) throw tooLarge(maxBytes);
    parts.push(part);
  }
  return Buffer.concat(parts);
}

function tooLarge(maxBytes: number): Failure {
  return Failure.create(
    "request_too_large",
    `body: more than ${maxBytes} bytes`,
  );
}
