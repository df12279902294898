import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ErrorKind } from "../errors/error_kind.ts";
import { Failure } from "../errors/failure.ts";
import type { Logger } from "../logging/logger.ts";
import { setTimeout as delay } from "node:timers/promises";
import { ConnectionState, type ConnectionStep } from "./connection_state.ts";
import type { Departure } from "./departure.ts";
import { markFollowed } from "./followed_requests.ts";
import { formatRefusal } from "./format_refusal.ts";
import { pollSockets } from "./poll_sockets.ts";
import { RequestReceipt } from "./request_receipt.ts";

/** Time for which bytes that follow a refusal are read and discarded, in milliseconds. */
const DISCARD_TIMEOUT_MS = 5_000;

/** Error codes of Node's HTTP server by the kind of error that the caller gets. Any other parser error is a malformed
 * request. */
const ERROR_KIND_BY_NODE_CODE: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: "headers_too_large",
  HPE_CHUNK_EXTENSIONS_OVERFLOW: "request_too_large",
  ERR_HTTP_REQUEST_TIMEOUT: "caller_too_slow",
};
/** Code of the parser error for a connection that its caller has ended within a request. */
const END_WITHIN_REQUEST_CODE = "HPE_INVALID_EOF_STATE";
/** Prefix of the codes of parser errors. */
const PARSER_CODE_PREFIX = "HPE_";

/** An error of Node's HTTP server. */
export type ServerError = Error & { code?: string };

/** A request that was received on a connection. */
interface ReceivedRequest {
  request: IncomingMessage;
  response: ServerResponse;
  receipt: RequestReceipt;
}

/** A caller's connection: passes its requests on, and refuses what can't be received as a request. */
export class CallerConnection {
  private readonly state = ConnectionState.create();
  private newest: ReceivedRequest | undefined;
  private refusal: Failure | undefined;
  private receivedRequests = 0;
  private departure: Departure | undefined;
  /** Number of bytes read up to the end of the newest request. */
  private bytesOfRequests = 0;

  private constructor(
    private readonly socket: Socket,
    private readonly logger: Logger,
  ) {
    // Node calls this after a response that closes the connection. Its own method would destroy the connection as soon
    // as the response is sent, and a request that lies unread would make that a reset.
    socket.destroySoon = () => this.endAfterResponse();
  }

  /** Creates the handling of a connection.
   * @param socket The connection.
   * @param logger Receives a log line for each refused or dropped request. */
  static create(socket: Socket, logger: Logger): CallerConnection {
    return new CallerConnection(socket, logger);
  }

  /** Receives a request; returns undefined if it must not be handled because its caller was told that it has not run.
   * @param request The request.
   * @param response The response to it. */
  receive(
    request: IncomingMessage,
    response: ServerResponse,
  ): RequestReceipt | undefined {
    const step = this.isCloseAnnounced ? "drop" : this.state.receiveRequest();
    if (step === "drop") {
      this.drop(request);
      return undefined;
    }
    this.receivedRequests += 1;
    request.once("end", () => this.recordBytes());
    const receipt = RequestReceipt.create();
    const received = { request, response, receipt };
    if (this.newest) this.keepOpenAfter(this.newest);
    this.newest = received;
    response.once("finish", () => this.onResponseEnd(received));
    if (step === "handle") return receipt;
    this.refuseLate(received);
    return undefined;
  }

  /** Refuses the requests that are received from now on, and closes the connection once its responses have been sent.
   * @param departure How the connection is ended. */
  leave(departure: Departure): void {
    this.departure = departure;
    if (this.state.isClosing) this.closeAfterSending(departure.lingerMs);
    else this.apply(this.state.leave());
  }

  /** Closes the connection even if its responses have not been sent. */
  cut(): void {
    const { writableLength: unsentBytes } = this.socket;
    const { unansweredRequests: unanswered } = this.state;
    if (unsentBytes > 0 || unanswered > 0) {
      const path = this.newest?.request.url;
      this.logger.warn({ unsentBytes, unanswered, path }, "connection_cut");
    }
    this.socket.destroy();
  }

  /** Handles an error of Node's HTTP server on this connection.
   * @param error The error. */
  handleError(error: ServerError): void {
    const { code = "" } = error;
    const isOverdue = code === "ERR_HTTP_REQUEST_TIMEOUT";
    const isProtocolError = isOverdue || code.startsWith(PARSER_CODE_PREFIX);
    // What follows the last response is discarded, whatever it is.
    if (isProtocolError && this.state.isClosing) return;
    const hasCallerGone = code === END_WITHIN_REQUEST_CODE &&
      this.state.unansweredRequests > 0;
    if (!isProtocolError || hasCallerGone || !this.socket.writable) {
      this.socket.destroy();
    } else if (isOverdue) void this.handleOverdueHead(error);
    else this.fail(error);
  }

  /** Refuses a request with the method CONNECT, after which the connection carries no further requests. */
  refuseTunnel(): void {
    this.socket.resume();
    this.fail(new Error("the method CONNECT is not supported"));
  }

  /** Closes the connection because it was idle for the idle timeout, unless a request has arrived meanwhile. */
  async closeIdle(): Promise<void> {
    const { bytesRead } = this.socket;
    await pollSockets();
    const isIdle = this.socket.bytesRead === bytesRead &&
      this.state.unansweredRequests === 0;
    if (isIdle) this.socket.destroy();
  }

  /** Refuses a request whose head is overdue. A process that was late may still have to read the rest of the head. */
  private async handleOverdueHead(error: ServerError): Promise<void> {
    const { receivedRequests } = this;
    await pollSockets();
    const hasReceivedHead = this.receivedRequests !== receivedRequests;
    if (hasReceivedHead || this.socket.bytesRead === 0) return;
    if (this.socket.writable) this.fail(error);
  }

  private fail(error: ServerError): void {
    if (!this.state.isReceiving) return;
    const kind = ERROR_KIND_BY_NODE_CODE[error.code ?? ""] ??
      "malformed_request";
    this.refusal = Failure.create(kind, error.message);
    const isBodyIncomplete = this.newest && !this.newest.request.complete;
    const step = isBodyIncomplete
      ? this.state.failBody(this.newest!.response.writableFinished)
      : this.state.failHead();
    const { unansweredRequests } = this.state;
    this.logger.info(
      { kind, detail: error.message, step, unanswered: unansweredRequests },
      "request_malformed",
    );
    this.apply(step);
  }

  private onResponseEnd(received: ReceivedRequest): void {
    this.apply(this.state.endResponse());
    if (!received.request.complete) this.limitDiscardedBody(received);
  }

  /** Whether the newest response has told its caller that the connection is closed after it. */
  private get isCloseAnnounced(): boolean {
    const response = this.newest?.response;
    return response !== undefined && response.headersSent &&
      !response.shouldKeepAlive;
  }

  /** Keeps the response to an earlier request from closing the connection, if it has not begun. */
  private keepOpenAfter({ request, response }: ReceivedRequest): void {
    if (response.headersSent) return;
    markFollowed(request);
    response.removeHeader("connection");
    response.shouldKeepAlive = true;
  }

  private endAfterResponse(): void {
    this.state.close();
    this.socket.end();
    this.closeAfterSending(this.departure?.lingerMs ?? DISCARD_TIMEOUT_MS);
  }

  private refuseLate({ request, response }: ReceivedRequest): void {
    const { refusal } = this.departure!;
    this.logger.info({
      kind: refusal.kind,
      detail: refusal.detail,
      path: request.url,
      method: request.method,
    }, "request_refused");
    request.resume();
    response.writeHead(refusal.status, {
      ...refusal.headers,
      connection: "close",
    });
    response.end(JSON.stringify(refusal.body));
  }

  /** Closes an idle connection, unless a request arrives first. */
  private async settle({ refusal, settleMs }: Departure): Promise<void> {
    await delay(settleMs);
    await pollSockets();
    if (this.socket.destroyed) return;
    this.refusal ??= refusal;
    this.apply(this.state.endIdle(this.hasPartialHead));
  }

  private get hasPartialHead(): boolean {
    const isBodyComplete = this.newest?.request.complete ?? true;
    return isBodyComplete && this.socket.bytesRead > this.bytesOfRequests;
  }

  private recordBytes(): void {
    this.bytesOfRequests = this.socket.bytesRead;
  }

  private apply(step: ConnectionStep): void {
    if (step === "none") return;
    if (step === "settle") {
      void this.settle(this.departure!);
      return;
    }
    if (step === "fail_request") {
      this.newest!.receipt.fail(this.refusal!);
      return;
    }
    const refusal = step === "refuse" ? formatRefusal(this.refusal!) : "";
    if (this.socket.writable) this.socket.end(refusal);
    if (this.departure) this.closeAfterSending(this.departure.lingerMs);
    else this.closeAfterDiscard(() => true);
  }

  /** Closes the connection some time after its last byte was passed to the kernel, unless its caller closes it first. What
   * arrives meanwhile is read and discarded. */
  private closeAfterSending(lingerMs: number): void {
    const { socket } = this;
    this.newest?.request.resume();
    if (socket.writableFinished) this.closeAfterDiscard(() => true, lingerMs);
    else {
      socket.once(
        "finish",
        () => this.closeAfterDiscard(() => true, lingerMs),
      );
    }
  }

  /** Closes the connection if the body of an answered request doesn't end soon. */
  private limitDiscardedBody({ request }: ReceivedRequest): void {
    request.resume();
    this.closeAfterDiscard(() => !request.complete);
  }

  private closeAfterDiscard(
    isDue: () => boolean,
    timeoutMs = DISCARD_TIMEOUT_MS,
  ): void {
    const timer = setTimeout(() => {
      if (isDue()) this.socket.destroy();
    }, timeoutMs);
    this.socket.once("close", () => clearTimeout(timer));
  }

  private drop(request: IncomingMessage): void {
    this.logger.info(
      { path: request.url, kind: this.refusal?.kind },
      "request_dropped",
    );
    request.resume();
  }
}
