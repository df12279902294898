import type { ClientRequest, IncomingMessage } from "node:http";
import { Duplex } from "node:stream";

/** The exchange with a host that relays a connection. */
export interface TunnelExchange {
  /** Its body carries the bytes to the upstream. */
  request: ClientRequest;
  /** Its body carries the bytes of the upstream. */
  response: IncomingMessage;
  /** Address of the relaying host, as ip:port. */
  address: string;
}

/** A connection to an upstream through another host, with the members of a socket that the HTTP client uses. If the other
 * host is lost, it fails; it ends only if the upstream has ended the connection. */
export class TunnelSocket extends Duplex {
  /** Address of the relaying host; defined, because a socket without one counts as reset. */
  readonly remoteAddress: string;

  private constructor(private readonly exchange: TunnelExchange) {
    super();
    this.remoteAddress = exchange.address;
    const { request, response } = exchange;
    response.on("data", (bytes: Buffer) => {
      if (!this.push(bytes)) response.pause();
    });
    response.on("end", () => this.push(null));
    response.on("error", (error) => this.destroy(error));
    request.on("error", (error) => this.destroy(error));
    request.on("close", () => {
      if (!response.complete) this.destroy(new Error("the relay was lost"));
    });
  }

  /** Creates a connection.
   * @param exchange The exchange that carries it. */
  static create(exchange: TunnelExchange): TunnelSocket {
    return new TunnelSocket(exchange);
  }

  /** Has no effect; only listening sockets keep a gateway running. */
  ref(): this {
    return this;
  }

  /** Has no effect, as `ref`. */
  unref(): this {
    return this;
  }

  override _read(): void {
    this.exchange.response.resume();
  }

  override _write(
    bytes: Buffer,
    _encoding: BufferEncoding,
    done: (error?: Error | null) => void,
  ): void {
    this.exchange.request.write(bytes, done);
  }

  override _final(done: () => void): void {
    this.exchange.request.end(done);
  }

  override _destroy(
    error: Error | null,
    done: (error?: Error | null) => void,
  ): void {
    this.exchange.request.destroy();
    done(error);
  }
}
