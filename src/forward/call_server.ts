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

/** Room for headers beyond the published limit, which is checked apart and answered by the table, in bytes. */
const HEADER_PARSER_LIMIT_BYTES = 128 * 1024;
/** Interval at which connections are looked at for callers that are too slow, in milliseconds. */
const SLOW_CHECK_INTERVAL_MS = 500;
/** Time by which an idle connection is kept longer than callers were told they may rest it, in milliseconds. */
const IDLE_MARGIN_MS = 1_000;
/** Time for a whole request to arrive, in milliseconds: as for a time-out of the largest routes. */
const REQUEST_TIMEOUT_MS = 20_000;

/** Errors of reading a request, as Node names them. */
const KIND_BY_CODE: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: "headers_too_large",
  ERR_HTTP_REQUEST_TIMEOUT: "caller_too_slow",
};

/** The HTTP server that callers connect to. */
export class CallServer {
  private constructor(
    private readonly server: Server,
    private readonly logger: Logger,
  ) {}

  /** Opens a server.
   * @param address Where to listen, as ip:port.
   * @param logger Where malformed requests are written.
   * @param onRequest Takes each well-formed request. */
  static async create(
    address: string,
    logger: Logger,
    onRequest: (request: IncomingMessage, response: ServerResponse) => void,
  ): Promise<CallServer> {
    const server = createServer({
      maxHeaderSize: HEADER_PARSER_LIMIT_BYTES,
      connectionsCheckingInterval: SLOW_CHECK_INTERVAL_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      noDelay: true,
    }, onRequest);
    const opened = new CallServer(server, logger);
    server.on("clientError", (error, socket) => opened.refuse(error, socket));
    const { host, port } = splitAddress(address);
    server.listen(port, host);
    await once(server, "listening");
    return opened;
  }

  /** Takes over the published limits.
   * @param limits The limits. */
  applyLimits(limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  /** Takes no new connections. */
  stopListening(): void {
    this.server.close();
  }

  /** Closes the connections on which nothing is under way. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /** Closes everything at once. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private refuse(error: Error & { code?: string }, socket: Duplex): void {
    if (error.code === "ECONNRESET" || !socket.writable) {
      socket.destroy();
      return;
    }
    const kind = KIND_BY_CODE[error.code ?? ""] ?? "malformed_request";
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
