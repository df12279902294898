import type { Socket } from "node:net";
import { readClock } from "../clock/clock.ts";
import type { PathConnection } from "../paths/path_connection.ts";
import { ResponseMeter } from "./response_meter.ts";
import { type buildConnector, Client, type Dispatcher } from "undici";

/** Idle time after which a connection is closed if the upstream names none, in milliseconds. */
const IDLE_TIMEOUT_MS = 10_000;
/** Maximum idle timeout that is accepted from an upstream, in milliseconds. */
const MAX_IDLE_TIMEOUT_MS = 60_000;
/** Time before the upstream's idle timeout at which a connection is closed, in milliseconds. */
const IDLE_CLOSE_MARGIN_MS = 700;

/** A connection to an upstream that carries one request at a time. */
export class UpstreamConnection {
  private readonly client: Client;
  private isClosed = false;
  private hasFailed = false;
  private relayHostId: string | undefined;
  private establishedTime = Infinity;
  private meter = ResponseMeter.create();
  private socket: PathConnection["socket"] | undefined;

  private constructor(
    address: string,
    connect: () => Promise<PathConnection>,
    onClosed: (connection: UpstreamConnection) => void,
  ) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_CLOSE_MARGIN_MS,
      connect: this.createConnector(connect),
    });
    // The HTTP client has its own listeners by now, so that this one does not change how it reads.
    this.client.on("connect", () =>
      this.socket?.on("data", (bytes: Buffer) => {
        this.meter.recordReceived(bytes.length);
        this.closeIfExcessive();
      }));
    this.client.on("disconnect", () => {
      this.close();
      onClosed(this);
    });
  }

  /** Creates a connection, which is established with its first request.
   * @param address Address of the upstream, as ip:port.
   * @param connect Establishes the connection.
   * @param onClosed Called when the connection has ended. */
  static create(
    address: string,
    connect: () => Promise<PathConnection>,
    onClosed: (connection: UpstreamConnection) => void,
  ): UpstreamConnection {
    return new UpstreamConnection(address, connect, onClosed);
  }

  /** Whether the connection can carry a request. */
  get isUsable(): boolean {
    return !this.isClosed;
  }

  /** Monotonic milliseconds at which the connection was established; infinity if it is not. */
  get establishedAt(): number {
    return this.establishedTime;
  }

  /** Id of the host that relays the connection; undefined if none does or it is not established. */
  get relayId(): string | undefined {
    return this.relayHostId;
  }

  /** Whether the connection was reset or failed in another way. Readers of a response without a length have to check
   * this, because the HTTP client treats such a response as complete even then. */
  get wasReset(): boolean {
    return this.hasFailed;
  }

  /** Sends a request.
   * @param options The request.
   * @param handler Receives the response or the error. */
  send(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    this.meter = ResponseMeter.create();
    this.client.dispatch(options, handler);
  }

  /** Records bytes of the response body.
   * @param bytes Number of bytes. */
  recordBody(bytes: number): void {
    this.meter.recordBody(bytes);
  }

  /** Records an interim response. */
  recordInterim(): void {
    this.meter.recordInterim();
    this.closeIfExcessive();
  }

  /** Closes the connection immediately. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    void this.client.destroy();
  }

  private createConnector(
    connect: () => Promise<PathConnection>,
  ): buildConnector.connector {
    return (_options, callback) =>
      void connect().then(
        ({ socket, relayId }) => {
          this.relayHostId = relayId;
          this.establishedTime = readClock();
          this.socket = socket;
          this.detectReset(socket);
          callback(null, socket as Socket);
        },
        (error: Error) => callback(error, null),
      );
  }

  /** Closes the connection if the response exceeds a limit; the request then fails with a message that names it. */
  private closeIfExcessive(): void {
    const { excess } = this.meter;
    if (excess === undefined || this.isClosed) return;
    this.isClosed = true;
    void this.client.destroy(new Error(`excessive response: ${excess}`));
  }

  /** Detects a reset of the connection. If the reset arrives together with the last bytes, the event loop reports an
   * ordinary end. The socket then has no remote address any more, whereas a socket that was closed properly still has
   * one. */
  private detectReset(socket: PathConnection["socket"]): void {
    socket.once("error", () => this.hasFailed = true);
    socket.prependOnceListener("end", () => {
      if (socket.remoteAddress === undefined) this.hasFailed = true;
    });
  }
}
