import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Logger } from "../logging/logger.ts";
import { CallerConnection } from "./caller_connection.ts";
import type { Departure } from "./departure.ts";
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
  private readonly connections = new Map<Duplex, CallerConnection>();
  private departure: Departure | undefined;
  private onAllClosed: () => void = () => undefined;

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
  ): CallerConnections {
    const connections = new CallerConnections(logger, onRequest);
    server.on("connection", (socket) => connections.get(socket));
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
    return connections;
  }

  /** Refuses the requests that are received from now on, and closes each connection once its responses have been sent.
   * @param departure How connections are ended. */
  leave(departure: Departure): void {
    this.departure = departure;
    for (const each of this.connections.values()) each.leave(departure);
  }

  /** Resolves when no connection is open. The server must have stopped to listen. */
  async waitUntilClosed(): Promise<void> {
    if (this.connections.size === 0) return;
    await new Promise<void>((resolve) => this.onAllClosed = resolve);
  }

  /** Closes the connections that are still open. */
  cut(): void {
    for (const each of this.connections.values()) each.cut();
  }

  private get(socket: Duplex): CallerConnection {
    const known = this.connections.get(socket);
    if (known) return known;
    const created = CallerConnection.create(socket as Socket, this.logger);
    if (socket.destroyed) return created;
    this.connections.set(socket, created);
    socket.once("close", () => this.forget(socket));
    if (this.departure) created.leave(this.departure);
    return created;
  }

  private forget(socket: Duplex): void {
    this.connections.delete(socket);
    if (this.connections.size === 0) this.onAllClosed();
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
