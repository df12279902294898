import type { Socket } from "node:net";

/** Closes a connection with a TCP reset.
 * Call this at most once per socket, and do not close the socket otherwise afterwards: the runtime shuts a socket down
 * before it resets it, and closing it again meanwhile leaves a handle that keeps the process from exiting. A socket
 * that is not open, or whose peer accepts no data, is only destroyed, because its shutdown might never complete.
 * @param socket The connection. */
export function resetSocket(socket: Socket): void {
  const mayReset = !socket.connecting && !socket.destroyed &&
    !socket.writableEnded && !socket.writableNeedDrain;
  if (mayReset) socket.resetAndDestroy();
  else socket.destroy();
}
