import type { IncomingMessage } from "node:http";

const followed = new WeakSet<IncomingMessage>();

/** Records that a later request of the same connection is handled while a request is unanswered.
 * @param request The earlier request. */
export function markFollowed(request: IncomingMessage): void {
  followed.add(request);
}

/** Whether a later request of the same connection is handled, so that the response must not close the connection.
 * @param request The request. */
export function isFollowed(request: IncomingMessage): boolean {
  return followed.has(request);
}
