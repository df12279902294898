import type { Failure } from "../errors/failure.ts";

/** Receives a response for the caller. */
export interface ResponseSink {
  /** Whether sending the response to the caller has started. */
  readonly hasStarted: boolean;
  /** Whether nothing more can be sent to the caller. */
  readonly isClosed: boolean;
  /** Receives the status and headers. */
  head(status: number, headers: Record<string, string>): void;
  /** Receives a chunk of the body; resolves when the sink is ready for more. */
  chunk(bytes: Uint8Array): Promise<void>;
  /** Ends a complete response. */
  end(): void;
  /** Sends a failure, or aborts the response with an error event if it has started. */
  fail(failure: Failure): void;
}
