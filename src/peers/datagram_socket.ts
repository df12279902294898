import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { splitAddress } from "../addresses/split_address.ts";
import type { Logger } from "../logging/logger.ts";
import type { Datagram, DatagramOf, DatagramType } from "./datagram.ts";
import { decodeDatagram, encodeDatagram } from "./datagram_codec.ts";

/** Whether this host sent or received a datagram. */
export type DatagramDirection = "sent" | "received";

/** Called for each datagram with its length in bytes. */
export type OnDatagram = (direction: DatagramDirection, bytes: number) => void;

/** Handles the datagrams of one type.
 * @param datagram The received datagram.
 * @param sender Address of the sender, as ip:port. */
export type DatagramHandler<Type extends DatagramType> = (
  datagram: DatagramOf<Type>,
  sender: string,
) => void;

/** Sends datagrams to other hosts and dispatches received ones to handlers. */
export interface DatagramPort {
  handle<Type extends DatagramType>(
    type: Type,
    handler: DatagramHandler<Type>,
  ): void;
  send(address: string, datagram: Datagram): void;
}

/** UDP socket for datagrams between hosts. */
export class DatagramSocket implements DatagramPort {
  private readonly handlers: {
    [Type in DatagramType]?: DatagramHandler<Type>;
  } = {};
  private isClosed = false;

  private constructor(
    private readonly socket: Socket,
    private readonly logger: Logger,
    private readonly onDatagram: OnDatagram,
  ) {}

  /** Opens the socket.
   * @param address Address to bind, as ip:port.
   * @param logger Logs malformed datagrams and socket errors.
   * @param onDatagram Called for each datagram.
   * @throws The system error if the address can't be bound. */
  static async create(
    address: string,
    logger: Logger,
    onDatagram: OnDatagram = () => undefined,
  ): Promise<DatagramSocket> {
    const socket = createSocket({ type: "udp4", lookup: lookUpNumericAddress });
    const { host, port } = splitAddress(address);
    const listening = once(socket, "listening");
    socket.bind(port, host);
    await listening;
    const opened = new DatagramSocket(socket, logger, onDatagram);
    socket.on(
      "message",
      (bytes, from) => opened.receive(bytes, `${from.address}:${from.port}`),
    );
    socket.on(
      "error",
      (error) =>
        logger.warn({ reason: error.message }, "datagram_socket_failed"),
    );
    return opened;
  }

  /** Sets the handler for a datagram type; datagrams without a handler are dropped.
   * @param type The datagram type.
   * @param handler The handler. */
  handle<Type extends DatagramType>(
    type: Type,
    handler: DatagramHandler<Type>,
  ): void {
    Object.assign(this.handlers, { [type]: handler });
  }

  /** Sends a datagram without delivery guarantee.
   * @param address Address of the receiver, as ip:port.
   * @param datagram The datagram. */
  send(address: string, datagram: Datagram): void {
    if (this.isClosed) return;
    const { host, port } = splitAddress(address);
    const bytes = encodeDatagram(datagram);
    this.onDatagram("sent", bytes.length);
    try {
      this.socket.send(
        bytes,
        port,
        host,
        (error) => error && this.logSendFailure(address, error),
      );
    } catch (error) {
      // The address came from another host and is malformed.
      this.logSendFailure(address, error);
    }
  }

  /** Closes the socket. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.socket.close();
  }

  private logSendFailure(address: string, error: unknown): void {
    const reason = error instanceof Error ? error.message : String(error);
    this.logger.debug({ address, reason }, "datagram_send_failed");
  }

  private receive(bytes: Buffer, sender: string): void {
    this.onDatagram("received", bytes.length);
    const datagram = decodeDatagram(bytes);
    if (!datagram) {
      this.logger.warn({ sender, bytes: bytes.length }, "datagram_malformed");
      return;
    }
    const handler = this.handlers[datagram.type] as
      | DatagramHandler<DatagramType>
      | undefined;
    handler?.(datagram, sender);
  }
}

/** Replaces the DNS lookup, since all addresses are numeric. */
function lookUpNumericAddress(
  address: string,
  _options: unknown,
  callback: (error: null, address: string, family: number) => void,
): void {
  callback(null, address, 4);
}
