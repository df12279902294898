import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { pack, unpack } from "msgpackr";
import type { Logger } from "../logging/logger.ts";
import { type GossipMessage, gossipSchema } from "./gossip_schema.ts";

/** The socket over which hosts tell each other of themselves. */
export class GossipSocket {
  private isClosed = false;

  private constructor(
    private readonly socket: Socket,
    private readonly logger: Logger,
  ) {}

  /** Opens the socket.
   * @param address Where to listen, as ip:port.
   * @param logger Where bad datagrams are written.
   * @param onMessage Told of each well-formed datagram. */
  static async create(
    address: string,
    logger: Logger,
    onMessage: (message: GossipMessage) => void,
  ): Promise<GossipSocket> {
    const socket = createSocket("udp4");
    const [host, port] = address.split(":");
    socket.bind(Number(port), host);
    await once(socket, "listening");
    const opened = new GossipSocket(socket, logger);
    socket.on("message", (bytes) => opened.receive(bytes, onMessage));
    socket.on(
      "error",
      (error) => logger.warn({ reason: error.message }, "gossip_socket_failed"),
    );
    return opened;
  }

  /** Sends a message; datagrams may be lost.
   * @param address Receiver, as ip:port.
   * @param message The message. */
  send(address: string, message: GossipMessage): void {
    if (this.isClosed) return;
    const [host, port] = address.split(":");
    this.socket.send(pack(message), Number(port), host, (error) => {
      if (error) {
        this.logger.debug({ address, reason: error.message }, "gossip_unsent");
      }
    });
  }

  /** Closes the socket. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.socket.close();
  }

  private receive(
    bytes: Buffer,
    onMessage: (message: GossipMessage) => void,
  ): void {
    const decoded = tryUnpack(bytes);
    const message = gossipSchema.safeParse(decoded);
    if (message.success) onMessage(message.data);
    else this.logger.warn({ bytes: bytes.length }, "gossip_malformed");
  }
}

/** Unpacks a datagram; one that is no message is undefined, which the schema then refuses. */
function tryUnpack(bytes: Buffer): unknown {
  try {
    return unpack(bytes);
  } catch {
    return undefined;
  }
}
