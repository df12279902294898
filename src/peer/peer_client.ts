import { WebSocket } from "ws";
import type { FleetSecret } from "./fleet_secret.ts";
import type { FramePort } from "./frame_port.ts";
import type { Frame } from "./frame_schema.ts";
import { SocketPort } from "./socket_port.ts";

/** Receives the frames of one exchange; `undefined` says that the connection ended. */
export type ExchangeReceiver = (frame: Frame | undefined) => void;

/** A connection to one router, over which this router opens exchanges. */
export class PeerClient {
  private readonly receivers = new Map<number, ExchangeReceiver>();
  private nextExchange = 1;
  private isClosed = false;

  private constructor(
    private readonly port: FramePort,
    private readonly onClosed: () => void,
  ) {
    port.onFrame((frame) => this.receivers.get(frame.exchange)?.(frame));
    port.onClose(() => this.endAll());
  }

  /** Wraps a port.
   * @param port The connection.
   * @param onClosed Told once that it ended. */
  static create(port: FramePort, onClosed: () => void): PeerClient {
    return new PeerClient(port, onClosed);
  }

  /** Connects to a router.
   * @param ownId This router.
   * @param peerId The router to connect to.
   * @param address Its IP number and peer port.
   * @param secret Proves who connects.
   * @param timeoutMs Time for the connection to be made.
   * @param onClosed Told once that it ended. */
  static async connect(
    ownId: string,
    peerId: string,
    address: { address: string; port: number },
    secret: FleetSecret,
    timeoutMs: number,
    onClosed: () => void,
  ): Promise<PeerClient> {
    const socket = new WebSocket(`ws://${address.address}:${address.port}/`, {
      handshakeTimeout: timeoutMs,
      perMessageDeflate: false,
      headers: { "x-router": ownId, "x-token": secret.createToken(ownId) },
    });
    await new Promise<void>((resolve, reject) => {
      socket.once("open", resolve);
      socket.once("error", reject);
    });
    return new PeerClient(SocketPort.create(peerId, socket), onClosed);
  }

  /** Opens an exchange.
   * @param receiver Receives its frames.
   * @returns Its number, to put on each frame. */
  openExchange(receiver: ExchangeReceiver): number {
    const exchange = this.nextExchange++;
    this.receivers.set(exchange, receiver);
    if (this.isClosed) setImmediate(() => receiver(undefined));
    return exchange;
  }

  /** Ends an exchange; later frames of it are dropped.
   * @param exchange Its number. */
  closeExchange(exchange: number): void {
    this.receivers.delete(exchange);
  }

  /** Sends a frame.
   * @param frame The frame. */
  send(frame: Frame): void {
    this.port.send(frame);
  }

  /** Ends the connection and all exchanges. */
  close(): void {
    this.port.close();
  }

  private endAll(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.onClosed();
    const receivers = [...this.receivers.values()];
    this.receivers.clear();
    for (const receiver of receivers) receiver(undefined);
  }
}
