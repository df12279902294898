import type { ServerResponse } from "node:http";
import type { Failure } from "../errors/failure.ts";
import { isFollowed } from "../http/followed_requests.ts";
import { keepReadingBody } from "../http/keep_reading_body.ts";
import { hasBody } from "./response_status.ts";

/** The response to one caller; sent once, either complete or as a stream. */
export class CallerResponse {
  private isStarted = false;
  private isFinished = false;
  private isHostLeaving = false;

  private constructor(
    private readonly response: ServerResponse,
    /** Whether the connection is closed after the response; evaluated when the response starts. */
    private readonly closesConnection: () => boolean,
  ) {}

  /** Creates the response to a request.
   * @param response The underlying HTTP response.
   * @param closesConnection Whether the connection is closed after the response. */
  static create(
    response: ServerResponse,
    closesConnection: () => boolean,
  ): CallerResponse {
    return new CallerResponse(response, closesConnection);
  }

  /** Whether the head of the response has been written. */
  get hasStarted(): boolean {
    return this.isStarted;
  }

  /** Sends a complete response of an upstream.
   * @param status Status code.
   * @param headers Alternating names and values.
   * @param body The complete body. */
  sendComplete(status: number, headers: readonly string[], body: Buffer): void {
    if (!this.start(status, headers, body.length)) return;
    this.isFinished = true;
    this.response.end(body);
  }

  /** Begins a stream.
   * @param status Status code.
   * @param headers Alternating names and values. */
  beginStream(status: number, headers: readonly string[]): void {
    if (this.start(status, headers, undefined)) this.response.flushHeaders();
  }

  /** Writes bytes of the stream; returns whether more can be written immediately.
   * @param bytes The bytes.
   * @param onDrain Called when more can be written, if that is not possible immediately. */
  write(bytes: Buffer, onDrain: () => void): boolean {
    if (this.isFinished) return true;
    const canWriteMore = this.response.write(bytes);
    if (!canWriteMore) this.response.once("drain", onDrain);
    return canWriteMore;
  }

  /** Ends the stream as complete. */
  endStream(): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.response.end();
  }

  /** Sends an error response, or aborts a stream that has already begun so that it does not look complete.
   * @param failure The error. */
  refuse(failure: Failure): void {
    if (this.isFinished) return;
    if (this.isStarted) return this.abort();
    this.isHostLeaving = failure.kind === "draining";
    const body = Buffer.from(JSON.stringify(failure.body));
    const headers = Object.entries(failure.headers).flat();
    if (!this.start(failure.status, headers, body.length)) return;
    this.isFinished = true;
    this.response.end(body);
  }

  /** Cuts the response if it is still open after its call has ended; returns whether it was. */
  close(): boolean {
    if (this.isFinished || this.response.destroyed) return false;
    this.abort();
    return true;
  }

  private abort(): void {
    this.isFinished = true;
    this.response.destroy();
  }

  private start(
    status: number,
    headers: readonly string[],
    length: number | undefined,
  ): boolean {
    if (this.isStarted || this.response.destroyed) return false;
    this.isStarted = true;
    const allHeaders = [...headers];
    const names = new Set(
      headers.filter((_, index) => index % 2 === 0).map((name) =>
        name.toLowerCase()
      ),
    );
    if (
      length !== undefined && hasBody(status) && !names.has("content-length")
    ) {
      allHeaders.push("content-length", String(length));
    }
    const isLast = this.isHostLeaving || this.closesConnection();
    const { req } = this.response;
    if (isLast && req.complete && !isFollowed(req)) {
      allHeaders.push("connection", "close");
      this.response.shouldKeepAlive = false;
    }
    keepReadingBody(this.response);
    this.response.writeHead(status, allHeaders);
    return true;
  }
}
