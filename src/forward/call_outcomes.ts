import type { ErrorKind } from "../errors/error_kind.ts";
import type { UpstreamChoice } from "../upstreams/choose_upstream.ts";
import { AttemptOutcomes } from "./attempt_outcomes.ts";
import type { CallForwarderContext } from "./call_forwarder_context.ts";
import { type RoutedCall, toTrackedRequest } from "./routed_call.ts";

/** Records what a call shows, apart from single attempts, and what the crash guard concludes about its request. */
export class CallOutcomes {
  private hasResponse = false;
  /** Whether the latest attempt follows an error response. */
  private isSecondRun = false;
  private latest: AttemptOutcomes | undefined;

  private constructor(
    private readonly call: RoutedCall,
    private readonly context: CallForwarderContext,
  ) {}

  /** Creates a recorder of a call without attempts.
   * @param call The call.
   * @param context Dependencies on the rest of the process. */
  static create(
    call: RoutedCall,
    context: CallForwarderContext,
  ): CallOutcomes {
    return new CallOutcomes(call, context);
  }

  /** Whether the crash guard allows sending the request, after it failed, to another upstream. */
  get maySendAgain(): boolean {
    return this.context.crashes.mayRetry(toTrackedRequest(this.call));
  }

  /** Error kind if the crash guard does not allow it and the request was certainly not run. */
  get refusalKind(): ErrorKind {
    return this.context.crashes.getRefusalKind(toTrackedRequest(this.call));
  }

  /** Starts the record of an attempt that is made.
   * @param choice Its choice. */
  startAttempt(choice: UpstreamChoice): AttemptOutcomes {
    const { call, context } = this;
    const attempt = AttemptOutcomes.create(call, context, this, choice);
    this.latest = attempt;
    return attempt;
  }

  /** Records that the next attempt follows an error response. */
  startSecondRun(): void {
    this.isSecondRun = true;
  }

  /** Records the end of an attempt, which ends the run after an error response: a success by any attempt, or a failure
   * of the latest one.
   * @param attempt The record of the attempt.
   * @param wasServed Whether it succeeded. */
  endSecondRun(attempt: AttemptOutcomes, wasServed: boolean): void {
    if (!this.isSecondRun || (!wasServed && attempt !== this.latest)) return;
    this.isSecondRun = false;
    this.context.repeats.recordSecondRun(this.call, wasServed);
  }

  /** Records that the call has got its first response, or none in time; later calls have no effect. */
  recordFirstResponse(): void {
    if (this.hasResponse) return;
    this.hasResponse = true;
    this.context.repeats.recordFirstResponse(this.call);
  }
}
