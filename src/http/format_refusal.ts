import type { Failure } from "../errors/failure.ts";

/** Formats the response to a request that no handler receives; the connection is closed after it.
 * @param failure Why the request is refused. */
export function formatRefusal(failure: Failure): string {
  const body = JSON.stringify(failure.body);
  const headers = Object.entries({
    ...failure.headers,
    connection: "close",
    "content-length": Buffer.byteLength(body),
  });
  const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${failure.status} Refused\r\n${lines.join("")}\r\n${body}`;
}
