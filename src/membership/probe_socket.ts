import { createSocket, type Socket } from "node:dgram";
import { Packr } from "msgpackr";
import type { PeerAuthenticator } from "../peer/peer_authenticator.ts";
import { type ProbeMessage, probeMessageSchema } from "./probe_message.ts";

/** Address that a datagram comes from or is sent to. */
export interface DatagramAddress {
  address: string;
  port: number;
}

const packr = new Packr({ useRecords: false });

/** UDP socket for probes between routers; datagrams that are unsigned or malformed are dropped. */
export class ProbeSocket {
  /** Bytes sent since the socket was created. */
  bytesSent = 0;
  /** Datagrams sent since the socket was created. */
  messagesSent = 0;

  private constructor(
    private readonly socket: Socket,
    private readonly authenticator: PeerAuthenticator,
  ) {}

  /** Binds a socket.
   * @param bindAddress Address to bind.
   * @param authenticator Signs and verifies each datagram.
   * @param onMessage Called with each valid message and its sender. */
  static async create(
    bindAddress: DatagramAddress,
    authenticator: PeerAuthenticator,
    onMessage: (message: ProbeMessage, from: DatagramAddress) => void,
  ): Promise<ProbeSocket> {
    const socket = createSocket("udp4");
    const probeSocket = new ProbeSocket(socket, authenticator);
    socket.on("message", (datagram, from) => {
      const message = probeSocket.decode(datagram);
      if (message) onMessage(message, from);
    });
    await new Promise<void>((resolve, reject) => {
      socket.once("error", reject);
      socket.bind(bindAddress.port, bindAddress.address, () => {
        socket.off("error", reject);
        socket.on("error", () => undefined);
        resolve();
      });
    });
    return probeSocket;
  }

  /** Sends a message without delivery guarantee.
   * @param message The message.
   * @param to Address of the receiver. */
  send(message: ProbeMessage, to: DatagramAddress): void {
    const datagram = this.authenticator.sign(packr.pack(message));
    this.bytesSent += datagram.length;
    this.messagesSent += 1;
    this.socket.send(datagram, to.port, to.address, () => undefined);
  }

  /** Closes the socket. */
  close(): void {
    this.socket.close();
  }

  private decode(datagram: Buffer): ProbeMessage | undefined {
    const content = this.authenticator.verify(datagram);
    if (!content) return undefined;
    try {
      return probeMessageSchema.parse(packr.unpack(content));
    } catch {
      return undefined;
    }
  }
}
