import { createSocket, type Socket } from "node:dgram";
import { Packr } from "msgpackr";
import type { FleetSecret } from "../peer/fleet_secret.ts";
import { type ProbeMessage, probeMessageSchema } from "./probe_message.ts";

/** Where a datagram came from or goes to. */
export interface DatagramAddress {
  address: string;
  port: number;
}

const packr = new Packr({ useRecords: false });

/** The UDP socket on which routers probe each other; what is not signed or not well formed is dropped. */
export class ProbeSocket {
  /** Bytes sent since the start. */
  bytesSent = 0;
  /** Datagrams sent since the start. */
  messagesSent = 0;

  private constructor(
    private readonly socket: Socket,
    private readonly secret: FleetSecret,
  ) {}

  /** Binds a socket.
   * @param at Where to bind.
   * @param secret Signs and checks each datagram.
   * @param onMessage Called for each valid message. */
  static async create(
    at: DatagramAddress,
    secret: FleetSecret,
    onMessage: (message: ProbeMessage, from: DatagramAddress) => void,
  ): Promise<ProbeSocket> {
    const socket = createSocket("udp4");
    const probes = new ProbeSocket(socket, secret);
    socket.on("message", (datagram, from) => {
      const message = probes.decode(datagram);
      if (message) onMessage(message, from);
    });
    await new Promise<void>((resolve, reject) => {
      socket.once("error", reject);
      socket.bind(at.port, at.address, () => {
        socket.off("error", reject);
        socket.on("error", () => undefined);
        resolve();
      });
    });
    return probes;
  }

  /** Sends a message; losses are not noticed.
   * @param message The message.
   * @param to The receiver. */
  send(message: ProbeMessage, to: DatagramAddress): void {
    const datagram = this.secret.seal(packr.pack(message));
    this.bytesSent += datagram.length;
    this.messagesSent += 1;
    this.socket.send(datagram, to.port, to.address, () => undefined);
  }

  /** Closes the socket. */
  close(): void {
    this.socket.close();
  }

  private decode(datagram: Buffer): ProbeMessage | undefined {
    const content = this.secret.open(datagram);
    if (!content) return undefined;
    try {
      return probeMessageSchema.parse(packr.unpack(content));
    } catch {
      return undefined;
    }
  }
}
