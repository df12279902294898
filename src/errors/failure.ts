import { ANSWER_TABLE, type RanStatement } from "./answer_table.ts";
import type { ErrorKind } from "./error_kind.ts";

/** The body that a refused caller receives. */
export interface FailureBody {
  error: {
    kind: ErrorKind;
    message: string;
    detail: string;
    ran: RanStatement;
  };
}

/** A refusal of one error kind, with the detail that belongs to this occurrence. */
export class Failure extends Error {
  private constructor(
    /** The error kind. */
    readonly kind: ErrorKind,
    /** What exactly was wrong, naming the field where there is one. */
    readonly detail: string,
    private readonly retryAfterSeconds: number | undefined,
  ) {
    super(`${kind}: ${detail}`);
  }

  /** Creates a failure.
   * @param kind The error kind.
   * @param detail What exactly was wrong.
   * @param retryAfterMs Milliseconds after which a new attempt makes sense; by default the time of the answer table. */
  static create(
    kind: ErrorKind,
    detail: string,
    retryAfterMs?: number,
  ): Failure {
    const seconds = retryAfterMs === undefined
      ? ANSWER_TABLE[kind].retryAfterSeconds
      : Math.ceil(retryAfterMs) / 1_000;
    return new Failure(kind, detail, seconds);
  }

  /** Turns anything thrown into a failure; what is not one becomes `internal`.
   * @param thrown The value that was thrown. */
  static from(thrown: unknown): Failure {
    if (thrown instanceof Failure) return thrown;
    return Failure.create(
      "internal",
      thrown instanceof Error ? thrown.message : String(thrown),
    );
  }

  /** The HTTP status code from the answer table. */
  get status(): number {
    return ANSWER_TABLE[this.kind].status;
  }

  /** Whether the request ran, from the answer table. */
  get ran(): RanStatement {
    return ANSWER_TABLE[this.kind].ran;
  }

  /** Headers that tell the caller the kind and when to come back. */
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

  /** The JSON body for the caller. */
  get body(): FailureBody {
    const { message, ran } = ANSWER_TABLE[this.kind];
    return { error: { kind: this.kind, message, detail: this.detail, ran } };
  }
}
