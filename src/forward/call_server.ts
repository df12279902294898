import { createServer, type Server } from "node:http";
import { once } from "node:events";
import { splitAddress } from "../addresses/split_address.ts";
import {
  CallerConnections,
  type RequestListener,
} from "../http/caller_connections.ts";
import {
  type ClosingOptions,
  ConnectionCloser,
} from "../http/connection_closer.ts";
import type { Logger } from "../logging/logger.ts";
import type { CallerLimits } from "../published/configuration_schema.ts";

/** Limit of Node's header parser in bytes. It is above the published limit, which is checked after parsing so that the
 * caller gets the system's own error response. */
const HEADER_PARSER_LIMIT_BYTES = 128 * 1024;
/** Interval at which Node checks connections for header timeouts, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Time for which an idle connection is kept open beyond the idle timeout that callers know, in milliseconds. */
const IDLE_TIMEOUT_MARGIN_MS = 1_000;

/** The HTTP server that callers connect to. */
export class CallServer {
  private constructor(
    private readonly server: Server,
    private readonly closer: ConnectionCloser,
  ) {}

  /** Starts a server and waits until it listens.
   * @param address The address to listen on, as ip:port.
   * @param logger Receives a log line for each malformed request.
   * @param onRequest Called for each request whose head is well formed and in time. */
  static async create(
    address: string,
    logger: Logger,
    onRequest: RequestListener,
  ): Promise<CallServer> {
    const server = createServer({
      maxHeaderSize: HEADER_PARSER_LIMIT_BYTES,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      requestTimeout: 0,
      noDelay: true,
    });
    const connections = CallerConnections.attach(server, logger, onRequest);
    const { host, port } = splitAddress(address);
    server.listen(port, host);
    await once(server, "listening");
    return new CallServer(server, ConnectionCloser.create(server, connections));
  }

  /** Applies the published limits.
   * @param limits The limits. */
  applyLimits(limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs +
      IDLE_TIMEOUT_MARGIN_MS;
  }

  /** Stops listening and ends all connections once their responses have been sent.
   * @param options Time limit and refusals. */
  async closeInOrder(options: ClosingOptions): Promise<void> {
    await this.closer.close(options);
  }

  /** Stops listening and closes all connections immediately. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
