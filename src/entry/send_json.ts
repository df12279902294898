import type { ServerResponse } from "node:http";

/** Sends a JSON response.
 * @param response The caller's response.
 * @param status HTTP status code.
 * @param value The value to serialize. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}
