/** What to do with a caller's connection after an event. */
export type ConnectionStep =
  | "none"
  /** Send the refusal and close the connection. */
  | "refuse"
  /** Let the handler of the request whose body is arriving refuse it. */
  | "fail_request"
  /** Close the connection without a refusal. */
  | "close";

/** Decides which requests on a connection are handled, and when a request that was not received completely is refused:
 * after the responses to the requests before it, and only if no handler receives it any more. */
export class ConnectionState {
  private unanswered = 0;
  private phase: "open" | "refusal_due" | "close_due" | "closing" = "open";

  private constructor() {}

  /** Creates the state of a new connection. */
  static create(): ConnectionState {
    return new ConnectionState();
  }

  /** Number of requests whose handlers have not completed the response. */
  get unansweredRequests(): number {
    return this.unanswered;
  }

  /** Whether further requests are handled. */
  get isOpen(): boolean {
    return this.phase === "open";
  }

  /** Records that the head of a request was received; returns whether it may be handled. */
  receiveRequest(): boolean {
    if (!this.isOpen) return false;
    this.unanswered += 1;
    return true;
  }

  /** Records that the response to the oldest unanswered request is complete. */
  endResponse(): ConnectionStep {
    this.unanswered -= 1;
    return this.takeDueStep();
  }

  /** Records that the head of the next request is malformed, too large or late. */
  failHead(): ConnectionStep {
    if (!this.isOpen) return "none";
    this.phase = "refusal_due";
    return this.takeDueStep();
  }

  /** Records that the rest of the newest request's body can't be received.
   * @param isAnswered Whether the response to that request is complete. */
  failBody(isAnswered: boolean): ConnectionStep {
    if (!this.isOpen) return "none";
    this.phase = "close_due";
    return isAnswered ? this.takeDueStep() : "fail_request";
  }

  private takeDueStep(): ConnectionStep {
    if (this.unanswered > 0 || this.isOpen || this.phase === "closing") {
      return "none";
    }
    const step = this.phase === "refusal_due" ? "refuse" : "close";
    this.phase = "closing";
    return step;
  }
}
