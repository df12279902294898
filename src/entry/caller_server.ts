import { readClock } from "../clock/clock.ts";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { CallerConnections } from "../http/caller_connections.ts";
import {
  type ClosingOptions,
  ConnectionCloser,
} from "../http/connection_closer.ts";
import { discardArrivedBody } from "../http/discard_arrived_body.ts";
import { keepReadingBody } from "../http/keep_reading_body.ts";
import { stopListening } from "../http/stop_listening.ts";
import type { RequestReceipt } from "../http/request_receipt.ts";
import { parseRequestTarget } from "../http/parse_request_target.ts";
import { Failure } from "../errors/failure.ts";
import type { EntryContext } from "./entry_context.ts";
import { getHandlerOrThrow } from "./routes.ts";

/** Interval at which the header timeout is checked, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

/** Time that the last bytes of a broken stream have to reach a caller that reads slowly, in milliseconds. */
const OPEN_RESPONSE_GRACE_MS = 1_000;

/** The HTTP server for callers; requests are handled independently of each other. */
export class CallerServer {
  private openCount = 0;
  private isDraining = false;
  private readonly closer: ConnectionCloser;

  private constructor(
    private readonly server: Server,
    private readonly context: EntryContext,
  ) {
    const connections = CallerConnections.attach(
      server,
      context.logger,
      (request, response, receipt) =>
        void this.handleRequest(request, response, receipt),
    );
    this.closer = ConnectionCloser.create(server, connections);
  }

  /** Starts listening.
   * @param context Dependencies of the request handlers. */
  static async create(context: EntryContext): Promise<CallerServer> {
    const { limits, http } = context.settings;
    const server = createServer({
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headerTimeoutMs,
      requestTimeout: 0,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      noDelay: true,
    });
    const callerServer = new CallerServer(server, context);
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(http.port, http.host, resolve);
    });
    return callerServer;
  }

  /** Number of requests in progress. */
  get openRequests(): number {
    return this.openCount;
  }

  /** From now on sends `connection: close`, so that callers open a new connection for each request. */
  startDraining(): void {
    this.isDraining = true;
  }

  /** Stops listening; connections stay open. */
  stopListening(): void {
    stopListening(this.server);
  }

  /** Ends all connections once their responses have been sent.
   * @param options Time limit and refusals. */
  async closeInOrder(options: ClosingOptions): Promise<void> {
    await this.closer.close(options);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
    receipt: RequestReceipt,
  ): Promise<void> {
    const startedAt = readClock();
    this.openCount += 1;
    response.on("error", () => response.destroy());
    if (this.isDraining) {
      response.setHeader("connection", "close");
      response.shouldKeepAlive = false;
    }
    try {
      if (this.openCount > this.context.settings.limits.maxOpenRequests) {
        throw Failure.create(
          "overloaded",
          "the router has too many open requests",
        );
      }
      const url = parseRequestTarget(request.url);
      await getHandlerOrThrow(request.method ?? "GET", url.pathname)(
        this.context,
        { request, response, receipt, url },
      );
    } catch (thrown) {
      await discardArrivedBody(request);
      this.refuseRequest(request, response, Failure.from(thrown));
    } finally {
      this.openCount -= 1;
      this.context.metrics.time("request", readClock() - startedAt);
      this.closeOpenResponse(request, response);
    }
  }

  /** Cuts a response that is still open some time after its handler has ended. */
  private closeOpenResponse(
    { url: path, method }: IncomingMessage,
    response: ServerResponse,
  ): void {
    const isClosed = () => response.writableEnded || response.destroyed;
    if (isClosed()) return;
    const timer = setTimeout(() => {
      if (isClosed()) return;
      this.context.metrics.count("open_response");
      this.context.logger.error({ path, method }, "response_open");
      response.destroy();
    }, OPEN_RESPONSE_GRACE_MS);
    response.once("close", () => clearTimeout(timer));
  }

  private refuseRequest(
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
    keepReadingBody(response);
    response.writeHead(failure.status, failure.headers);
    response.end(JSON.stringify(failure.body));
  }
}
