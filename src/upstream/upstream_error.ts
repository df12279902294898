/** A failed call to an upstream. */
export class UpstreamError extends Error {
  private constructor(
    /** "no" if it is certain that the upstream did not run the request. */
    readonly ran: "no" | "unknown",
    message: string,
  ) {
    super(message);
  }

  /** Creates an error.
   * @param ran Whether the upstream may have run the request.
   * @param message Description of the failure. */
  static create(ran: "no" | "unknown", message: string): UpstreamError {
    return new UpstreamError(ran, message);
  }

  /** Converts any thrown value to an upstream error. The request certainly did not run only if the connection was never
   * established.
   * @param thrown The thrown value. */
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
