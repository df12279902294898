/** What to do with a caller's connection after an event. */
export type ConnectionStep =
  | "none"
  /** Send the refusal and close the connection. */
  | "refuse"
  /** Let the handler of the request whose body is arriving refuse it. */
  | "fail_request"
  /** Wait for a request that may be on its way, and then call {@link ConnectionState.endIdle}. */
  | "settle"
  /** Close the connection without a refusal. */
  | "close";

/** What to do with a request whose head was received. */
export type RequestStep =
  | "handle"
  /** Refuse it because the process stops. */
  | "refuse"
  /** Discard it: it can't be answered, and its caller knows or can see that it has not run. */
  | "drop";

/** Decides which requests on a connection are handled, when a request that was not received completely is refused, and
 * when the connection of a process that stops is closed: after the responses to the requests before, and only if no
 * handler receives the request any more. */
export class ConnectionState {
  private unanswered = 0;
  private phase:
    | "open"
    | "leaving"
    | "refusal_due"
    | "close_due"
    | "closing" = "open";

  private constructor() {}

  /** Creates the state of a new connection. */
  static create(): ConnectionState {
    return new ConnectionState();
  }

  /** Number of requests whose responses have not been passed to the kernel completely. */
  get unansweredRequests(): number {
    return this.unanswered;
  }

  /** Whether further requests are handled or refused, rather than dropped. */
  get isReceiving(): boolean {
    return this.phase === "open" || this.phase === "leaving";
  }

  /** Whether the connection has been closed for responses. */
  get isClosing(): boolean {
    return this.phase === "closing";
  }

  /** Records that the head of a request was received. */
  receiveRequest(): RequestStep {
    if (!this.isReceiving) return "drop";
    this.unanswered += 1;
    if (this.phase === "open") return "handle";
    // The refusal is the last response of the connection.
    this.phase = "close_due";
    return "refuse";
  }

  /** Records that the response to the oldest unanswered request is complete. */
  endResponse(): ConnectionStep {
    this.unanswered -= 1;
    return this.takeDueStep();
  }

  /** Records that the head of the next request is malformed, too large or late. */
  failHead(): ConnectionStep {
    if (!this.isReceiving) return "none";
    this.phase = "refusal_due";
    return this.takeDueStep();
  }

  /** Records that the rest of the newest request's body can't be received.
   * @param isAnswered Whether the response to that request is complete. */
  failBody(isAnswered: boolean): ConnectionStep {
    if (!this.isReceiving) return "none";
    this.phase = "close_due";
    return isAnswered ? this.takeDueStep() : "fail_request";
  }

  /** Records that the process stops: requests whose heads are received from now on are refused. */
  leave(): ConnectionStep {
    if (this.phase !== "open") return "none";
    this.phase = "leaving";
    return this.takeDueStep();
  }

  /** Records that no request has arrived within the time to settle.
   * @param hasPartialHead Whether a part of the next head has been received. */
  endIdle(hasPartialHead: boolean): ConnectionStep {
    if (this.phase !== "leaving" || this.unanswered > 0) return "none";
    this.phase = hasPartialHead ? "refusal_due" : "close_due";
    return this.takeDueStep();
  }

  /** Records that the connection is closed after a response that announced it; later requests are dropped. */
  close(): void {
    this.phase = "closing";
  }

  private takeDueStep(): ConnectionStep {
    if (this.unanswered > 0) return "none";
    if (this.phase === "leaving") return "settle";
    if (this.phase === "open" || this.phase === "closing") return "none";
    const step = this.phase === "refusal_due" ? "refuse" : "close";
    this.phase = "closing";
    return step;
  }
}
