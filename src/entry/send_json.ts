import type { ServerResponse } from "node:http";

/** Sends a JSON answer.
 * @param response The caller's response.
 * @param status HTTP status code.
 * @param value What to send. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}
