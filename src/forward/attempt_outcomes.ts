import { readClock } from "../clock/clock.ts";
import type { UpstreamChoice } from "../upstreams/choose_upstream.ts";
import type { HealthSignal } from "../upstreams/upstream_health.ts";
import type { AttemptFailure } from "./attempt.ts";
import type { CallForwarderContext } from "./call_forwarder_context.ts";
import type { CallOutcomes } from "./call_outcomes.ts";
import type { ResponseHeaders } from "./caller_headers.ts";
import { type RoutedCall, toTrackedRequest } from "./routed_call.ts";

/** What a failed attempt shows about the health of its upstream. */
const FAILURE_SIGNALS: Readonly<
  Record<AttemptFailure, HealthSignal | undefined>
> = {
  not_sent: "unreachable",
  withheld: undefined,
  broken: "broken",
};

/** Records what one attempt of a call shows about its upstream and about the request. */
export class AttemptOutcomes {
  /** Time from the send to the first event of its stream, in milliseconds; undefined before it. */
  private firstEventMs: number | undefined;

  private constructor(
    private readonly call: RoutedCall,
    private readonly context: CallForwarderContext,
    private readonly outcomes: CallOutcomes,
    private readonly choice: UpstreamChoice,
  ) {}

  /** Creates a recorder.
   * @param call The call.
   * @param context Dependencies on the rest of the process.
   * @param outcomes Records what does not depend on the attempt.
   * @param choice The choice of the attempt. */
  static create(
    call: RoutedCall,
    context: CallForwarderContext,
    outcomes: CallOutcomes,
    choice: UpstreamChoice,
  ): AttemptOutcomes {
    return new AttemptOutcomes(call, context, outcomes, choice);
  }

  /** Records that the first event of the response was received.
   * @param elapsedMs Time since the request was sent, in milliseconds. */
  recordBegin(elapsedMs: number): void {
    this.outcomes.recordFirstResponse();
    this.firstEventMs = elapsedMs;
    this.recordFirstEvent(elapsedMs);
    this.context.crashes.recordBegin(toTrackedRequest(this.call));
  }

  /** Records a complete response, whatever its status.
   * @param elapsedMs Time since the request was sent, in milliseconds.
   * @param hasPartialResponse Whether its first event was recorded before. */
  recordCompletion(elapsedMs: number, hasPartialResponse: boolean): void {
    this.outcomes.recordFirstResponse();
    this.context.recordCompletion(this.call, elapsedMs);
    this.context.crashes.recordCompletion(
      toTrackedRequest(this.call),
      hasPartialResponse,
    );
  }

  /** Records how long a successful response took.
   * @param elapsedMs Time since the request was sent, in milliseconds.
   * @param events Events that the attempt forwarded; 0 if the response is no stream. */
  recordTimes(elapsedMs: number, events: number): void {
    const { choice, context, firstEventMs } = this;
    if (firstEventMs === undefined) {
      if (events === 0) this.recordFirstEvent(elapsedMs);
      return context.recordEnd(choice, elapsedMs, undefined);
    }
    const durationMs = elapsedMs - firstEventMs;
    context.recordEnd(choice, elapsedMs, { events: events - 1, durationMs });
  }

  /** Records a successful response.
   * @param signal What the response shows about the health of the upstream. */
  recordSuccess(signal: HealthSignal): void {
    this.outcomes.endSecondRun(this, true);
    this.context.recordHealth(this.choice.upstream, signal);
  }

  /** Records an error response. One with a backoff shows that the upstream is busy, not that it is faulty.
   * @param headers Headers of the response. */
  recordError({ availability }: ResponseHeaders): void {
    this.outcomes.endSecondRun(this, false);
    if (availability.backoffMs !== undefined) return;
    this.context.recordHealth(this.choice.upstream, "error_answer");
  }

  /** Records that the attempt failed. One that the call had left does not count as a possible crash: upstreams that fail
   * together would otherwise bring a request to a long hold by a single call.
   * @param failure Why it failed.
   * @param hasPartialResponse Whether an event of its response was forwarded.
   * @param wasLeft Whether the call had left the attempt. */
  recordFailure(
    failure: AttemptFailure,
    hasPartialResponse: boolean,
    wasLeft: boolean,
  ): void {
    const { upstream } = this.choice;
    const signal = FAILURE_SIGNALS[failure];
    if (signal) this.context.recordHealth(upstream, signal);
    if (failure !== "broken" || wasLeft) return;
    this.outcomes.endSecondRun(this, false);
    this.context.crashes.recordInterruption(
      upstream,
      toTrackedRequest(this.call),
      hasPartialResponse,
    );
  }

  /** Records that the process at the upstream's address did not run the request.
   * @param headers Headers of the response. */
  recordDecline(headers: ResponseHeaders): void {
    const { upstream } = this.choice;
    if (headers.isFromOtherUpstream) this.context.recordMoved(upstream);
    else {
      upstream.availability.recordDecline(readClock());
      this.context.recordDecline(upstream);
    }
    this.context.repeats.recordRefusal(this.call.service);
  }

  private recordFirstEvent(elapsedMs: number): void {
    this.context.recordFirstEvent(this.call, this.choice, elapsedMs);
  }
}
