/** Why a connection was not established: the address refuses connections, it did not respond in time, or another
 * error. */
export type DialFailure = "refused" | "timed_out" | "failed";

/** A connection that was not established, so that nothing was sent on it. */
export class DialError extends Error {
  private constructor(
    /** Why the connection was not established. */
    readonly failure: DialFailure,
    message: string,
  ) {
    super(message);
  }

  /** Creates an error.
   * @param failure Why the connection was not established.
   * @param message Description for the log. */
  static create(failure: DialFailure, message: string): DialError {
    return new DialError(failure, message);
  }

  /** Converts a thrown value; anything but a dial error becomes a failure of kind `failed`.
   * @param thrown The thrown value. */
  static from(thrown: unknown): DialError {
    if (thrown instanceof DialError) return thrown;
    return DialError.create(
      "failed",
      thrown instanceof Error ? thrown.message : String(thrown),
    );
  }
}
