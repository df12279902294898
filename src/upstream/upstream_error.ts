/** A failed call to an upstream. */
export class UpstreamError extends Error {
  private constructor(
    /** "no" where it is certain that the upstream did not run the request. */
    readonly ran: "no" | "unknown",
    message: string,
  ) {
    super(message);
  }

  /** Creates an error.
   * @param ran Whether the request ran.
   * @param message What happened. */
  static create(ran: "no" | "unknown", message: string): UpstreamError {
    return new UpstreamError(ran, message);
  }

  /** Turns anything thrown into an upstream error.
   * Only a connection that was never made is certain not to have carried the request.
   * @param thrown The value that was thrown. */
  static from(thrown: unknown): UpstreamError {
    if (thrown instanceof UpstreamError) return thrown;
    const { code, message } = thrown as { code?: string; message?: string };
    const neverConnected = code === "ECONNREFUSED" ||
      code === "UND_ERR_CONNECT_TIMEOUT" || code === "EHOSTUNREACH";
    return new UpstreamError(
      neverConnected ? "no" : "unknown",
      code ?? message ?? String(thrown),
    );
  }
}
