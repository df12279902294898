import type { RepeatCause } from "../scheduling/decide_repeat.ts";
import type { CallForwarderContext } from "./call_forwarder_context.ts";
import type { AttemptProgress, CallLog } from "./call_log.ts";
import type { RoutedCall } from "./routed_call.ts";

/** Progress of a call when it is to be repeated. */
export interface RepeatProgress extends AttemptProgress {
  /** Time until the call's deadline, in milliseconds. */
  remainingMs: number;
}

/** Decides whether a call may be repeated: while its service is short of room, repeats give way; those that do not are
 * taken from the retry budget of the service. */
export class RepeatGate {
  private constructor(
    private readonly call: RoutedCall,
    private readonly context: Pick<
      CallForwarderContext,
      "repeats" | "spendRetry"
    >,
    private readonly log: CallLog,
  ) {}

  /** Creates the gate of a call.
   * @param call The call.
   * @param context Decides on repeats and holds the retry budgets.
   * @param log Logs the decisions. */
  static create(
    call: RoutedCall,
    context: Pick<CallForwarderContext, "repeats" | "spendRetry">,
    log: CallLog,
  ): RepeatGate {
    return new RepeatGate(call, context, log);
  }

  /** Whether a repeat does not give way. Takes nothing from the budget.
   * @param cause Why the request is to be sent again.
   * @param progress Progress of the call. */
  allows(cause: RepeatCause, progress: RepeatProgress): boolean {
    return this.decide(cause, progress, false);
  }

  /** Takes a retry from the budget unless the repeat gives way; returns whether the request may be sent again.
   * @param cause Why the request is to be sent again.
   * @param progress Progress of the call. */
  spend(cause: RepeatCause, progress: RepeatProgress): boolean {
    return this.decide(cause, progress, true);
  }

  private decide(
    cause: RepeatCause,
    { remainingMs, ...progress }: RepeatProgress,
    takesRetry: boolean,
  ): boolean {
    const { call, context, log } = this;
    const judged = context.repeats.decide(call, {
      cause: progress.events > 0 ? "resume" : cause,
      remainingMs,
    });
    if (judged && judged.decision !== "sent") {
      log.logRetryDecision({ isAllowed: false }, progress, judged);
      return false;
    }
    if (!takesRetry) return true;
    const decision = context.spendRetry(call.service);
    log.logRetryDecision(decision, progress, judged);
    return decision.isAllowed;
  }
}
