import {
  MAX_INTERIM_RESPONSES,
  MAX_OVERHEAD_BYTES,
  MAX_STREAM_BYTES,
} from "../http/response_limits.ts";

/** Counts what a connection receives for one request, and detects a response that can't be a sound one. */
export class ResponseMeter {
  private receivedBytes = 0;
  private bodyBytes = 0;
  private interimResponses = 0;

  private constructor() {}

  /** Creates a meter for a request. */
  static create(): ResponseMeter {
    return new ResponseMeter();
  }

  /** Records bytes that the connection received, including those of the body.
   * @param bytes Number of bytes. */
  recordReceived(bytes: number): void {
    this.receivedBytes += bytes;
  }

  /** Records bytes of the response body.
   * @param bytes Number of bytes. */
  recordBody(bytes: number): void {
    this.bodyBytes += bytes;
  }

  /** Records an interim response. */
  recordInterim(): void {
    this.interimResponses += 1;
  }

  /** Describes the limit that the response exceeds; undefined if it exceeds none. */
  get excess(): string | undefined {
    const { bodyBytes, interimResponses } = this;
    const overheadBytes = this.receivedBytes - bodyBytes;
    if (bodyBytes > MAX_STREAM_BYTES) {
      return `a body of ${bodyBytes} bytes, of at most ${MAX_STREAM_BYTES}`;
    }
    if (overheadBytes > MAX_OVERHEAD_BYTES + bodyBytes) {
      return `${overheadBytes} bytes besides a body of ${bodyBytes}, of at most ${
        MAX_OVERHEAD_BYTES + bodyBytes
      }`;
    }
    if (interimResponses > MAX_INTERIM_RESPONSES) {
      return `${interimResponses} interim responses, of at most ${MAX_INTERIM_RESPONSES}`;
    }
    return undefined;
  }
}
