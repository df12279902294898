import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Logger } from "../logging/logger.ts";
import { CallerConnection } from "./caller_connection.ts";
import type { RequestReceipt } from "./request_receipt.ts";

/** Handles a request whose head was received. */
export type RequestListener = (
  request: IncomingMessage,
  response: ServerResponse,
  receipt: RequestReceipt,
) => void;

/** Passes the requests on the connections of an HTTP server on, and refuses what can't be received as a request.
 * The server must have no request timeout, since only the handler of a request can refuse it once it was received. */
export class CallerConnections {
  private readonly connections = new WeakMap<Duplex, CallerConnection>();

  private constructor(
    private readonly logger: Logger,
    private readonly onRequest: RequestListener,
  ) {}

  /** Handles the connections of a server.
   * @param server The server, before it listens.
   * @param logger Receives a log line for each refused or dropped request.
   * @param onRequest Called for each request that may be handled. */
  static attach(
    server: Server,
    logger: Logger,
    onRequest: RequestListener,
  ): void {
    const connections = new CallerConnections(logger, onRequest);
    server.on(
      "request",
      (request, response) => connections.handle(request, response),
    );
    server.on(
      "checkExpectation",
      (request, response) => connections.refuseExpectation(request, response),
    );
    server.on(
      "clientError",
      (error, socket) => connections.get(socket).handleError(error),
    );
    server.on(
      "connect",
      (_request, socket) => connections.get(socket).refuseTunnel(),
    );
    server.on(
      "timeout",
      (socket) => void connections.get(socket).closeIdle(),
    );
  }

  private get(socket: Duplex): CallerConnection {
    const known = this.connections.get(socket);
    if (known) return known;
    const created = CallerConnection.create(socket as Socket, this.logger);
    this.connections.set(socket, created);
    return created;
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    const receipt = this.get(request.socket).receive(request, response);
    if (receipt) this.onRequest(request, response, receipt);
  }

  /** Responds to an expectation other than `100-continue`. */
  private refuseExpectation(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    if (!this.get(request.socket).receive(request, response)) return;
    response.writeHead(417).end();
  }
}
