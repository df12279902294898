import type { Socket } from "node:net";

/** An established connection to an upstream. */
export interface PathConnection {
  socket: Socket;
  /** Id of the host that relays it; undefined for a connection of this host. */
  relayId: string | undefined;
}
