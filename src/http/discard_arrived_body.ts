import type { IncomingMessage } from "node:http";
import { pollSockets } from "./poll_sockets.ts";

/** Discards the body of a request that is refused early, as far as it has arrived: the connection can then be closed
 * after the response without unread bytes.
 * @param request The request. */
export async function discardArrivedBody(
  request: IncomingMessage,
): Promise<void> {
  if (request.complete) return;
  request.resume();
  await pollSockets();
}
