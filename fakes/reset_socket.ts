import type { Socket } from "node:net";

/** Ends a connection by a reset.
 * The runtime shuts a socket down before it resets it, and a second ending meanwhile leaves the handle in a state in which
 * the process never ends; so this is called once for a socket, and nothing else ends it after. A socket that is not open,
 * or whose peer takes no bytes, is only destroyed, for its shutdown might never come.
 * @param socket The connection. */
export function resetSocket(socket: Socket): void {
  const mayReset = !socket.connecting && !socket.destroyed &&
    !socket.writableEnded && !socket.writableNeedDrain;
  if (mayReset) socket.resetAndDestroy();
  else socket.destroy();
}
