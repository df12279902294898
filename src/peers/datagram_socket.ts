import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { splitAddress } from "../addresses/split_address.ts";
import type { Logger } from "../logging/logger.ts";
import type { Datagram, DatagramOf, DatagramType } from "./datagram.ts";
import { decodeDatagram, encodeDatagram } from "./datagram_codec.ts";

/** Whether a datagram left this host or came in. */
export type DatagramDirection = "sent" | "received";

/** Told of each datagram with its length in bytes. */
export type OnDatagram = (direction: DatagramDirection, bytes: number) => void;

/** Takes the datagrams of one type.
 * @param datagram What came.
 * @param sender Who sent it, as ip:port. */
export type DatagramHandler<Type extends DatagramType> = (
  datagram: DatagramOf<Type>,
  sender: string,
) => void;

/** Sends datagrams to other hosts and hands on those that come in. */
export interface DatagramPort {
  handle<Type extends DatagramType>(
    type: Type,
    handler: DatagramHandler<Type>,
  ): void;
  send(address: string, datagram: Datagram): void;
}

/** The socket over which hosts send each other datagrams. */
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
   * @param address Where to listen, as ip:port.
   * @param logger Where bad datagrams are written.
   * @param onDatagram Told of each datagram.
   * @throws The system's error where the address can't be listened on. */
  static async create(
    address: string,
    logger: Logger,
    onDatagram: OnDatagram = () => undefined,
  ): Promise<DatagramSocket> {
    const socket = createSocket({ type: "udp4", lookup: takeAddress });
    const { host, port } = splitAddress(address);
    const listening = once(socket, "listening");
    socket.bind(port, host);
    await listening;
    const opened = new DatagramSocket(socket, logger, onDatagram);
    socket.on(
      "message",
      (bytes, from) => opened.take(bytes, `${from.address}:${from.port}`),
    );
    socket.on(
      "error",
      (error) => logger.warn({ reason: error.message }, "datagrams_failed"),
    );
    return opened;
  }

  /** Sets who takes the datagrams of a type; those of a type without a taker are left out.
   * @param type The type.
   * @param handler Takes them. */
  handle<Type extends DatagramType>(
    type: Type,
    handler: DatagramHandler<Type>,
  ): void {
    Object.assign(this.handlers, { [type]: handler });
  }

  /** Sends a datagram, which may be lost.
   * @param address Receiver, as ip:port.
   * @param datagram What it holds. */
  send(address: string, datagram: Datagram): void {
    if (this.isClosed) return;
    const { host, port } = splitAddress(address);
    const bytes = encodeDatagram(datagram);
    this.onDatagram("sent", bytes.length);
    this.socket.send(bytes, port, host, (error) => {
      if (!error) return;
      this.logger.debug({ address, reason: error.message }, "datagram_unsent");
    });
  }

  /** Closes the socket. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.socket.close();
  }

  private take(bytes: Buffer, sender: string): void {
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

/** Stands for a look-up of names, for all addresses are IP numbers. */
function takeAddress(
  address: string,
  _options: unknown,
  done: (error: null, address: string, family: number) => void,
): void {
  done(null, address, 4);
}
