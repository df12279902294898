import { Failure } from "../errors/failure.ts";
import type { ErrorKind } from "../errors/error_kind.ts";
import type { CallForwarderContext } from "./call_forwarder_context.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { RoutedCall } from "./routed_call.ts";
import type { StreamTracker } from "./stream_tracker.ts";

/** Error kinds whose retry time does not depend on the upstreams' backoffs. */
const KINDS_WITH_OWN_RETRY_TIME: ReadonlySet<ErrorKind> = new Set([
  "belief_too_old",
  "crashes_upstreams",
  "prompt_crashes_upstreams",
  "stream_unresumable",
]);

/** Refuses a call: chooses the error kind if no upstream is left, and the time after which its caller may retry. */
export class CallRefusal {
  private constructor(
    private readonly call: RoutedCall,
    private readonly context: CallForwarderContext,
    private readonly stream: StreamTracker,
  ) {}

  /** Creates the refusal of a call.
   * @param call The call.
   * @param context Dependencies on the rest of the process.
   * @param stream Where the call's stream must continue. */
  static create(
    call: RoutedCall,
    context: CallForwarderContext,
    stream: StreamTracker,
  ): CallRefusal {
    return new CallRefusal(call, context, stream);
  }

  /** Returns the error kind if no upstream is left; one that states that the request was not run only if that is
   * certain.
   * @param mayHaveRun Whether an attempt may have run it. */
  chooseKind(mayHaveRun: boolean): ErrorKind {
    if (mayHaveRun) return "upstream_failed";
    if (!this.context.isPublicationUsable()) return "belief_too_old";
    const { origin } = this.stream;
    if (origin && !this.context.canContinue(origin)) {
      return "stream_unresumable";
    }
    return this.context.isUnreachable(this.call.service)
      ? "no_upstream"
      : "overloaded";
  }

  /** Sends the refusal. The retry time comes from the upstreams' backoffs unless it is known or depends on the error kind
   * only.
   * @param response The response to the caller.
   * @param kind The error kind.
   * @param detail Specific cause.
   * @param knownRetryAfterMs Time to wait before a retry, in milliseconds, if it is known. */
  send(
    response: CallerResponse,
    kind: ErrorKind,
    detail: string,
    knownRetryAfterMs?: number,
  ): void {
    const retryAfterMs = KINDS_WITH_OWN_RETRY_TIME.has(kind)
      ? undefined
      : knownRetryAfterMs ??
        this.context.getRetryAfterMs(this.call.service, this.stream.origin);
    response.refuse(Failure.create(kind, detail, retryAfterMs));
  }
}
