import { EventEmitter, once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { pino } from "pino";
import { CallerConnections } from "../../src/http/caller_connections.ts";
import { ConnectionCloser } from "../../src/http/connection_closer.ts";

/** Responds to a request. */
export type Responder = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** A log line of a {@link ClosingServer}. */
export interface LogLine {
  msg: string;
  unsentBytes?: number;
  unanswered?: number;
  kind?: string;
}

/** A server for callers whose connections are ended by a {@link ConnectionCloser}. */
export class ClosingServer {
  /** Paths of the requests that were run, in order. */
  readonly ran: string[] = [];
  readonly lines: LogLine[] = [];
  private readonly events = new EventEmitter();

  private constructor(
    readonly server: Server,
    readonly respond: Responder,
  ) {}

  /** Starts a server.
   * @param respond Responds to each request that is run. */
  static async create(respond: Responder): Promise<
    { closing: ClosingServer; closer: ConnectionCloser; port: number }
  > {
    const server = createServer({ requestTimeout: 0 });
    const closing = new ClosingServer(server, respond);
    const logger = pino({}, {
      write: (line: string) => void closing.lines.push(JSON.parse(line)),
    });
    const connections = CallerConnections.attach(
      server,
      logger,
      (request, response) => closing.handle(request, response),
    );
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const closer = ConnectionCloser.create(server, connections);
    return { closing, closer, port };
  }

  /** Resolves when a number of requests has been run.
   * @param count The number. */
  async waitForRuns(count: number): Promise<void> {
    while (this.ran.length < count) await once(this.events, "run");
  }

  /** Finds the log lines of an event.
   * @param event Name of the event. */
  findLines(event: string): LogLine[] {
    return this.lines.filter(({ msg }) => msg === event);
  }

  /** Closes what is left open. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    request.resume();
    this.ran.push(request.url!);
    this.respond(request, response);
    this.events.emit("run");
  }
}
