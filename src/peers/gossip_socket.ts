import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { splitAddress } from "../addresses/split_address.ts";
import type { Logger } from "../logging/logger.ts";
import { decodeGossip, encodeGossip } from "./gossip_codec.ts";
import type { GossipMessage } from "./gossip_schema.ts";

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
    const { host, port } = splitAddress(address);
    socket.bind(port, host);
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
    const { host, port } = splitAddress(address);
    this.socket.send(encodeGossip(message), port, host, (error) => {
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
    const message = decodeGossip(bytes);
    if (message) onMessage(message);
    else this.logger.warn({ bytes: bytes.length }, "gossip_malformed");
  }
}
