import type { Failure } from "../errors/failure.ts";

/** Takes an answer on its way to the caller. */
export interface AnswerSink {
  /** Whether any part of the answer has reached the sink. */
  readonly hasStarted: boolean;
  /** Whether the caller is gone. */
  readonly isClosed: boolean;
  /** Takes the status and headers. */
  head(status: number, headers: Record<string, string>): void;
  /** Takes a part; resolves when the caller can take more. */
  chunk(bytes: Uint8Array): Promise<void>;
  /** Ends a whole answer. */
  end(): void;
  /** Ends with a refusal, or breaks off visibly where the answer has started. */
  fail(failure: Failure): void;
}
