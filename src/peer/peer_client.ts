import { WebSocket } from "ws";
import type { PeerAuthenticator } from "./peer_authenticator.ts";
import type { FramePort } from "./frame_port.ts";
import type { Frame } from "./frame_schema.ts";
import { WebSocketFramePort } from "./web_socket_frame_port.ts";

/** Listener for the frames of one exchange; called with `undefined` when the connection is closed. */
export type ExchangeListener = (frame: Frame | undefined) => void;

/** Client side of a connection to one router, over which this router opens multiplexed exchanges. */
export class PeerClient {
  private readonly listeners = new Map<number, ExchangeListener>();
  private nextExchange = 1;
  private isClosed = false;

  private constructor(
    private readonly port: FramePort,
    private readonly onClosed: () => void,
  ) {
    port.onFrame((frame) => this.listeners.get(frame.exchange)?.(frame));
    port.onClose(() => this.handleClose());
  }

  /** Creates a client on an open connection.
   * @param port The connection.
   * @param onClosed Called once when the connection is closed. */
  static create(port: FramePort, onClosed: () => void): PeerClient {
    return new PeerClient(port, onClosed);
  }

  /** Connects to a router.
   * @param ownId Id of this router.
   * @param peerId Id of the router to connect to.
   * @param address IP address and peer port of that router.
   * @param authenticator Creates the token that this router presents.
   * @param timeoutMs Time limit of the WebSocket handshake.
   * @param onClosed Called once when the connection is closed. */
  static async connect(
    ownId: string,
    peerId: string,
    address: { address: string; port: number },
    authenticator: PeerAuthenticator,
    timeoutMs: number,
    onClosed: () => void,
  ): Promise<PeerClient> {
    const socket = new WebSocket(`ws://${address.address}:${address.port}/`, {
      handshakeTimeout: timeoutMs,
      perMessageDeflate: false,
      headers: {
        "x-router": ownId,
        "x-token": authenticator.createToken(ownId),
      },
    });
    await new Promise<void>((resolve, reject) => {
      socket.once("open", resolve);
      socket.once("error", reject);
    });
    return new PeerClient(WebSocketFramePort.create(peerId, socket), onClosed);
  }

  /** Opens an exchange; on a closed connection, the listener is called asynchronously with `undefined`.
   * @param listener Called for each frame of the exchange.
   * @returns Number of the exchange, which each of its frames carries. */
  openExchange(listener: ExchangeListener): number {
    const exchange = this.nextExchange++;
    this.listeners.set(exchange, listener);
    if (this.isClosed) setImmediate(() => listener(undefined));
    return exchange;
  }

  /** Closes an exchange; frames of it that arrive later are dropped.
   * @param exchange Number of the exchange. */
  closeExchange(exchange: number): void {
    this.listeners.delete(exchange);
  }

  send(frame: Frame): void {
    this.port.send(frame);
  }

  /** Closes the connection and with it all exchanges. */
  close(): void {
    this.port.close();
  }

  private handleClose(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.onClosed();
    const listeners = [...this.listeners.values()];
    this.listeners.clear();
    for (const listener of listeners) listener(undefined);
  }
}
