import { readClock } from "../clock/clock.ts";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Duplex } from "node:stream";
import { Failure } from "../errors/failure.ts";
import type { EntryContext } from "./entry_context.ts";
import { getHandlerOrThrow } from "./routes.ts";

/** Interval at which callers that are too slow are looked for. */
const SLOW_CHECK_MS = 500;

/** Errors of Node's HTTP parser that have a kind of their own. */
const CLIENT_ERROR_KINDS: Readonly<
  Record<string, "headers_too_large" | "caller_too_slow">
> = {
  HPE_HEADER_OVERFLOW: "headers_too_large",
  ERR_HTTP_REQUEST_TIMEOUT: "caller_too_slow",
};

/** The server that callers connect to; each request is handled on its own. */
export class CallerServer {
  private openCount = 0;
  private isDraining = false;

  private constructor(
    private readonly server: Server,
    private readonly context: EntryContext,
  ) {}

  /** Starts listening.
   * @param context What the handlers work with. */
  static async create(context: EntryContext): Promise<CallerServer> {
    const { limits, http } = context.settings;
    const server = createServer({
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headerTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      connectionsCheckingInterval: SLOW_CHECK_MS,
      noDelay: true,
    });
    const callers = new CallerServer(server, context);
    server.on(
      "request",
      (request, response) => void callers.handle(request, response),
    );
    server.on(
      "clientError",
      (error: Error & { code?: string }, socket) => refuseSocket(error, socket),
    );
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(http.port, http.host, resolve);
    });
    return callers;
  }

  /** Requests under way. */
  get openRequests(): number {
    return this.openCount;
  }

  /** Asks callers to connect anew for each request from now on. */
  startDraining(): void {
    this.isDraining = true;
  }

  /** Stops listening; requests under way go on. */
  stopListening(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Ends all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const startedAt = readClock();
    this.openCount += 1;
    response.on("error", () => response.destroy());
    if (this.isDraining) response.setHeader("connection", "close");
    try {
      if (this.openCount > this.context.settings.limits.maxOpenRequests) {
        throw Failure.create(
          "overloaded",
          "the router has too many open requests",
        );
      }
      const url = new URL(request.url ?? "/", "http://router");
      await getHandlerOrThrow(request.method ?? "GET", url.pathname)(
        this.context,
        { request, response, url },
      );
    } catch (thrown) {
      this.refuse(request, response, Failure.from(thrown));
    } finally {
      this.openCount -= 1;
      this.context.metrics.time("request", readClock() - startedAt);
    }
  }

  private refuse(
    request: IncomingMessage,
    response: ServerResponse,
    failure: Failure,
  ): void {
    this.context.metrics.count("refused", { kind: failure.kind });
    const { kind, detail } = failure;
    this.context.logger.info({
      kind,
      detail,
      path: request.url,
      method: request.method,
    }, "request_refused");
    if (response.destroyed) return;
    if (response.headersSent) {
      response.destroy();
      return;
    }
    if (!request.complete) response.setHeader("connection", "close");
    response.writeHead(failure.status, failure.headers);
    response.end(JSON.stringify(failure.body));
  }
}

function refuseSocket(error: Error & { code?: string }, socket: Duplex): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const failure = Failure.create(
    CLIENT_ERROR_KINDS[error.code ?? ""] ?? "malformed_request",
    error.message,
  );
  const body = JSON.stringify(failure.body);
  const headers = Object.entries({
    ...failure.headers,
    connection: "close",
    "content-length": Buffer.byteLength(body),
  });
  const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`).join(
    "",
  );
  socket.end(`HTTP/1.1 ${failure.status} Refused\r\n${lines}\r\n${body}`);
}
