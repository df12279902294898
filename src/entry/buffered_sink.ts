import type { Failure } from "../errors/failure.ts";
import type { ResponseSink } from "./response_sink.ts";
import type { StoredResponse } from "./outcome_store.ts";

/** Buffers a response and passes it on only when it is complete. */
export class BufferedSink implements ResponseSink {
  private status = 200;
  private headers: Record<string, string> = {};
  private readonly chunks: Uint8Array[] = [];

  private constructor(
    private readonly onComplete: (response: StoredResponse) => void,
    private readonly onFailure: (failure: Failure) => void,
    private readonly isDisconnected: () => boolean,
  ) {}

  /** Creates a sink.
   * @param onComplete Called with the complete response.
   * @param onFailure Called with the failure.
   * @param isDisconnected Returns whether the caller has disconnected. */
  static create(
    onComplete: (response: StoredResponse) => void,
    onFailure: (failure: Failure) => void,
    isDisconnected: () => boolean,
  ): BufferedSink {
    return new BufferedSink(onComplete, onFailure, isDisconnected);
  }

  readonly hasStarted = false;

  get isClosed(): boolean {
    return this.isDisconnected();
  }

  head(status: number, headers: Record<string, string>): void {
    this.status = status;
    this.headers = headers;
  }

  chunk(bytes: Uint8Array): Promise<void> {
    this.chunks.push(bytes);
    return Promise.resolve();
  }

  end(): void {
    this.onComplete({
      status: this.status,
      headers: this.headers,
      body: Buffer.concat(this.chunks),
    });
  }

  fail(failure: Failure): void {
    this.onFailure(failure);
  }
}
