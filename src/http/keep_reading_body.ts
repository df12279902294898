import type { ServerResponse } from "node:http";

/** Keeps the connection open after the response to a request whose body is still arriving, and discards the rest of
 * the body. A close with unread bytes resets the connection, which can destroy the response on its way.
 * @param response The response, before its head is written. */
export function keepReadingBody(response: ServerResponse): void {
  if (response.req.complete) return;
  response.removeHeader("connection");
  response.shouldKeepAlive = true;
  response.req.resume();
}
