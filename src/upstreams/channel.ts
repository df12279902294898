import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";

/** Time for a new connection to an upstream, in milliseconds: some hundred times the usual way there and back. */
const CONNECT_TIMEOUT_MS = 450;
/** Idle time after which a connection is closed where the upstream names none, in milliseconds. */
const IDLE_TIMEOUT_MS = 10_000;
/** Longest idle time that an upstream's word is followed up to, in milliseconds. */
const MAX_IDLE_TIMEOUT_MS = 60_000;
/** Time by which a connection is closed before the upstream closes it, in milliseconds. */
const IDLE_CLOSE_MARGIN_MS = 700;
/** Idle time on a connection after which the system probes whether the other end is there, in milliseconds. */
const KEEPALIVE_PROBE_DELAY_MS = 1_000;

/** One connection to an upstream, with one request on it at a time. */
export class Channel {
  private readonly client: Client;
  private isClosed = false;
  private hasFailed = false;

  private constructor(address: string, onClosed: (channel: Channel) => void) {
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

  /** Creates a channel; it connects with its first request.
   * @param address Address of the upstream, as ip:port.
   * @param onClosed Told when the connection has ended. */
  static create(
    address: string,
    onClosed: (channel: Channel) => void,
  ): Channel {
    return new Channel(address, onClosed);
  }

  /** Whether the channel can take a request. */
  get isUsable(): boolean {
    return !this.isClosed;
  }

  /** Whether the connection was reset or failed in another way.
   * The client counts an answer without a length as whole even then, so whoever takes one has to ask. */
  get wasReset(): boolean {
    return this.hasFailed;
  }

  /** Sends a request.
   * @param options The request.
   * @param handler Told what becomes of it. */
  send(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    this.client.dispatch(options, handler);
  }

  /** Closes the connection at once. */
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

  /** Notes a reset. Where it comes together with the last bytes, the event loop reports a plain end; a socket that was
   * reset then has no other side any more, while one that was ended well still names its address. */
  private detectReset(socket: Socket): void {
    socket.once("error", () => this.hasFailed = true);
    socket.prependOnceListener("end", () => {
      if (socket.remoteAddress === undefined) this.hasFailed = true;
    });
  }
}
