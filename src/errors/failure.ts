import { ERROR_RESPONSES, type ExecutionStatus } from "./error_responses.ts";
import type { ErrorKind } from "./error_kind.ts";

/** JSON body of an error response. */
export interface FailureBody {
  error: {
    kind: ErrorKind;
    message: string;
    detail: string;
    ran: ExecutionStatus;
  };
}

/** An error that is returned to a caller: its kind, and a detail specific to this occurrence. */
export class Failure extends Error {
  private constructor(
    /** The error kind. */
    readonly kind: ErrorKind,
    /** Specific cause, naming the field if there is one. */
    readonly detail: string,
    private readonly retryAfterSeconds: number | undefined,
  ) {
    super(`${kind}: ${detail}`);
  }

  /** Creates a failure.
   * @param kind The error kind.
   * @param detail Specific cause.
   * @param retryAfterMs Time to wait before a retry, in milliseconds; by default the value for the error kind. */
  static create(
    kind: ErrorKind,
    detail: string,
    retryAfterMs?: number,
  ): Failure {
    const seconds = retryAfterMs === undefined
      ? ERROR_RESPONSES[kind].retryAfterSeconds
      : Math.ceil(retryAfterMs) / 1_000;
    return new Failure(kind, detail, seconds);
  }

  /** Converts a thrown value into a failure; anything but a failure becomes `internal`.
   * @param thrown The thrown value. */
  static from(thrown: unknown): Failure {
    if (thrown instanceof Failure) return thrown;
    return Failure.create(
      "internal",
      thrown instanceof Error ? thrown.message : String(thrown),
    );
  }

  /** HTTP status code for the error kind. */
  get status(): number {
    return ERROR_RESPONSES[this.kind].status;
  }

  /** Whether the request was executed, for the error kind. */
  get ran(): ExecutionStatus {
    return ERROR_RESPONSES[this.kind].ran;
  }

  /** Response headers: the error kind, whether the request was executed, and `Retry-After` if a retry makes sense. */
  get headers(): Record<string, string> {
    const retryAfter = this.retryAfterSeconds;
    const headers: Record<string, string> = {
      "content-type": "application/json",
      "x-beechkeel-error": this.kind,
      "x-beechkeel-ran": this.ran,
    };
    if (retryAfter !== undefined) headers["retry-after"] = String(retryAfter);
    return headers;
  }

  /** JSON body of the error response. */
  get body(): FailureBody {
    const { message, ran } = ERROR_RESPONSES[this.kind];
    return { error: { kind: this.kind, message, detail: this.detail, ran } };
  }
}
