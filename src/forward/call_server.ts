import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { once } from "node:events";
import type { Duplex } from "node:stream";
import { splitAddress } from "../addresses/split_address.ts";
import type { ErrorKind } from "../errors/error_kind.ts";
import { Failure } from "../errors/failure.ts";
import type { Logger } from "../logging/logger.ts";
import type { CallerLimits } from "../published/configuration_schema.ts";

/** Limit of Node's header parser in bytes. It is above the published limit, which is checked after parsing so that the
 * caller gets the system's own error response. */
const HEADER_PARSER_LIMIT_BYTES = 128 * 1024;
/** Interval at which Node checks connections for header and request timeouts, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Time for which an idle connection is kept open beyond the idle timeout that callers know, in milliseconds. */
const IDLE_TIMEOUT_MARGIN_MS = 1_000;
/** Timeout for receiving a complete request, in milliseconds: equal to the timeout of the largest routes. */
const REQUEST_TIMEOUT_MS = 20_000;

/** Error kinds by Node's error code; any other code is a malformed request. */
const ERROR_KIND_BY_NODE_CODE: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: "headers_too_large",
  ERR_HTTP_REQUEST_TIMEOUT: "caller_too_slow",
};

/** The HTTP server that callers connect to. */
export class CallServer {
  private constructor(
    private readonly server: Server,
    private readonly logger: Logger,
  ) {}

  /** Starts a server and waits until it listens.
   * @param address The address to listen on, as ip:port.
   * @param logger Receives a log line for each malformed request.
   * @param onRequest Called for each well-formed request. */
  static async create(
    address: string,
    logger: Logger,
    onRequest: (request: IncomingMessage, response: ServerResponse) => void,
  ): Promise<CallServer> {
    const server = createServer({
      maxHeaderSize: HEADER_PARSER_LIMIT_BYTES,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      noDelay: true,
    }, onRequest);
    const callServer = new CallServer(server, logger);
    server.on(
      "clientError",
      (error, socket) => callServer.refuse(error, socket),
    );
    const { host, port } = splitAddress(address);
    server.listen(port, host);
    await once(server, "listening");
    return callServer;
  }

  /** Applies the published limits.
   * @param limits The limits. */
  applyLimits(limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs +
      IDLE_TIMEOUT_MARGIN_MS;
  }

  /** Stops accepting connections. */
  stopListening(): void {
    this.server.close();
  }

  /** Closes the idle connections. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /** Stops listening and closes all connections immediately. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private refuse(error: Error & { code?: string }, socket: Duplex): void {
    if (error.code === "ECONNRESET" || !socket.writable) {
      socket.destroy();
      return;
    }
    const kind = ERROR_KIND_BY_NODE_CODE[error.code ?? ""] ??
      "malformed_request";
    const failure = Failure.create(kind, error.message);
    this.logger.info({ kind, detail: error.message }, "request_malformed");
    const body = JSON.stringify(failure.body);
    const headers = Object.entries(failure.headers).map(([name, value]) =>
      `${name}: ${value}\r\n`
    ).join("");
    socket.end(
      `HTTP/1.1 ${failure.status} Refused\r\n${headers}connection: close\r\n` +
        `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
  }
}
