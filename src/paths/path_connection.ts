import type { Socket } from "node:net";
import type { TunnelSocket } from "./tunnel_socket.ts";

/** An established connection to an upstream. */
export interface PathConnection {
  socket: Socket | TunnelSocket;
  /** Id of the host that relays it; undefined for a connection of this host. */
  relayId: string | undefined;
}
