import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { splitAddress } from "../addresses/split_address.ts";
import type { Logger } from "../logging/logger.ts";
import {
  type Datagram,
  decodeDatagram,
  encodeDatagram,
} from "./datagram_codec.ts";

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
   * @param onDatagram Told of each well-formed datagram and of its sender, as ip:port. */
  static async create(
    address: string,
    logger: Logger,
    onDatagram: (datagram: Datagram, sender: string) => void,
  ): Promise<GossipSocket> {
    const socket = createSocket("udp4");
    const { host, port } = splitAddress(address);
    socket.bind(port, host);
    await once(socket, "listening");
    const opened = new GossipSocket(socket, logger);
    socket.on("message", (bytes, from) => {
      const datagram = decodeDatagram(bytes);
      if (datagram) onDatagram(datagram, `${from.address}:${from.port}`);
      else logger.warn({ bytes: bytes.length }, "gossip_malformed");
    });
    socket.on(
      "error",
      (error) => logger.warn({ reason: error.message }, "gossip_socket_failed"),
    );
    return opened;
  }

  /** Sends a datagram, which may be lost.
   * @param address Receiver, as ip:port.
   * @param datagram What it holds. */
  send(address: string, datagram: Datagram): void {
    if (this.isClosed) return;
    const { host, port } = splitAddress(address);
    this.socket.send(encodeDatagram(datagram), port, host, (error) => {
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
}
