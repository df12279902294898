import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { Failure } from "../errors/failure.ts";
import type { ResponseSink } from "./response_sink.ts";

/** Streams a response to the caller, respecting back-pressure. */
export class StreamSink implements ResponseSink {
  private constructor(
    private readonly response: ServerResponse,
    private readonly requestId: string,
  ) {}

  /** Creates a sink.
   * @param response The caller's response.
   * @param requestId Sent in the `x-request-id` header. */
  static create(response: ServerResponse, requestId: string): StreamSink {
    return new StreamSink(response, requestId);
  }

  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  get isClosed(): boolean {
    return this.response.destroyed || this.response.writableEnded;
  }

  head(status: number, headers: Record<string, string>): void {
    if (this.hasStarted) return;
    this.response.writeHead(status, {
      ...headers,
      "x-request-id": this.requestId,
    });
  }

  async chunk(bytes: Uint8Array): Promise<void> {
    if (!this.hasStarted) {
      this.head(200, {
        "content-type": "text/event-stream",
        "cache-control": "no-store",
      });
    }
    if (this.isClosed || this.response.write(bytes)) return;
    const abort = new AbortController();
    const signal = abort.signal;
    const waits = [
      once(this.response, "drain", { signal }),
      once(this.response, "close", { signal }),
    ];
    await Promise.race(waits).catch(() => undefined);
    abort.abort();
    await Promise.allSettled(waits);
  }

  end(): void {
    this.response.end();
  }

  fail(failure: Failure): void {
    if (this.isClosed) return;
    if (!this.hasStarted) {
      this.response.writeHead(failure.status, {
        ...failure.headers,
        "x-request-id": this.requestId,
      });
      this.response.end(JSON.stringify(failure.body));
      return;
    }
    const broken = Failure.create("stream_broken", failure.message);
    this.response.write(
      `event: error\ndata: ${JSON.stringify(broken.body)}\n\n`,
      () => this.response.destroy(),
    );
  }
}
