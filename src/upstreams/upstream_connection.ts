import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";

/** Timeout for connecting to an upstream, in milliseconds; about a hundred usual round-trip times. */
const CONNECT_TIMEOUT_MS = 450;
/** Idle time after which a connection is closed if the upstream names none, in milliseconds. */
const IDLE_TIMEOUT_MS = 10_000;
/** Maximum idle timeout that is accepted from an upstream, in milliseconds. */
const MAX_IDLE_TIMEOUT_MS = 60_000;
/** Time before the upstream's idle timeout at which a connection is closed, in milliseconds. */
const IDLE_CLOSE_MARGIN_MS = 700;
/** Idle time after which the operating system starts TCP keepalive probes, in milliseconds. */
const KEEPALIVE_PROBE_DELAY_MS = 1_000;

/** A connection to an upstream that carries one request at a time. */
export class UpstreamConnection {
  private readonly client: Client;
  private isClosed = false;
  private hasFailed = false;

  private constructor(
    address: string,
    onClosed: (connection: UpstreamConnection) => void,
  ) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_CLOSE_MARGIN_MS,
      connect: this.createConnector(),
    });
    this.client.on("disconnect", () => {
      this.close();
      onClosed(this);
    });
  }

  /** Creates a connection, which is established with its first request.
   * @param address Address of the upstream, as ip:port.
   * @param onClosed Called when the connection has ended. */
  static create(
    address: string,
    onClosed: (connection: UpstreamConnection) => void,
  ): UpstreamConnection {
    return new UpstreamConnection(address, onClosed);
  }

  /** Whether the connection can carry a request. */
  get isUsable(): boolean {
    return !this.isClosed;
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
    this.client.dispatch(options, handler);
  }

  /** Closes the connection immediately. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    void this.client.destroy();
  }

  private createConnector(): buildConnector.connector {
    const connect = buildConnector({
      timeout: CONNECT_TIMEOUT_MS,
      keepAlive: true,
      keepAliveInitialDelay: KEEPALIVE_PROBE_DELAY_MS,
    });
    return (options, callback) =>
      connect(options, (...result) => {
        if (result[1]) this.detectReset(result[1]);
        callback(...result);
      });
  }

  /** Detects a reset of the connection. If the reset arrives together with the last bytes, the event loop reports an
   * ordinary end. The socket then has no remote address any more, whereas a socket that was closed properly still has
   * one. */
  private detectReset(socket: Socket): void {
    socket.once("error", () => this.hasFailed = true);
    socket.prependOnceListener("end", () => {
      if (socket.remoteAddress === undefined) this.hasFailed = true;
    });
  }
}
