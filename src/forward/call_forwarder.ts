import { readClock } from "../clock/clock.ts";
import type { ErrorKind } from "../errors/error_kind.ts";
import type { Route } from "../published/configuration_schema.ts";
import type { RepeatCause } from "../scheduling/decide_repeat.ts";
import type { UpstreamChoice } from "../upstreams/choose_upstream.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import { AdmissionGate } from "./admission_gate.ts";
import { AttemptBudget } from "./attempt_budget.ts";
import type { AttemptEnd } from "./attempt_end.ts";
import type { AttemptOutcomes } from "./attempt_outcomes.ts";
import { AttemptSender } from "./attempt_sender.ts";
import { CallAttempt, type CallAttemptListener } from "./call_attempt.ts";
import { CallAttempts } from "./call_attempts.ts";
import { CallDeadline } from "./call_deadline.ts";
import type {
  CallForwarderContext,
  CallOutcome,
} from "./call_forwarder_context.ts";
import { CallLog } from "./call_log.ts";
import { CallOutcomes } from "./call_outcomes.ts";
import { CallRefusal } from "./call_refusal.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { CallProgress, StopEnd } from "./call_progress.ts";
import { RepeatGate, type RepeatProgress } from "./repeat_gate.ts";
import { ResponseRelay } from "./response_relay.ts";
import type { RoutedCall } from "./routed_call.ts";
import { formatSilence } from "./silence_detector.ts";
import { StreamPace } from "./stream_pace.ts";
import { StreamTracker } from "./stream_tracker.ts";
import { UpstreamPicker } from "./upstream_picker.ts";

/** An attempt is not started with less time than this left, in milliseconds. */
const MIN_REMAINING_MS = 15;

/** Forwards one call: makes attempts at upstreams until one responds or the deadline or the retries are exhausted. */
export class CallForwarder {
  private readonly budget: AttemptBudget;
  private readonly relay: ResponseRelay;
  private readonly log: CallLog;
  private readonly stream: StreamTracker;
  private readonly picker: UpstreamPicker;
  private readonly gate: AdmissionGate;
  private readonly refusal: CallRefusal;
  private readonly sender: AttemptSender;
  private readonly outcomes: CallOutcomes;
  private readonly repeats: RepeatGate;
  private readonly attempts: CallAttempts;
  /** Whether a slot is being borrowed for the next attempt. */
  private isBorrowing = false;
  /** Whether the latest attempt has forwarded an event. */
  private hasPartialResponse = false;
  private readonly pace = StreamPace.create();
  private isFinished = false;
  private readonly deadline: CallDeadline;
  private readonly listener: CallAttemptListener = {
    onForwarded: (attempt, events) => this.onForwarded(attempt, events),
    onEnded: (attempt, end) => this.onEnded(attempt, end),
    onSilent: (attempt, silentMs, cause) =>
      this.sendElsewhere(attempt, silentMs, cause),
  };

  private constructor(
    /** The call that is forwarded. */
    readonly call: RoutedCall,
    private readonly response: CallerResponse,
    private readonly context: CallForwarderContext,
  ) {
    this.deadline = CallDeadline.create(call, () => this.expire());
    this.budget = AttemptBudget.create(
      call,
      (cause) => this.spendRetry(cause),
    );
    this.log = CallLog.create(context.logger, call);
    this.repeats = RepeatGate.create(call, context, this.log);
    this.stream = StreamTracker.create(call, context.streams);
    this.picker = UpstreamPicker.create(
      call,
      context,
      this.stream,
      this.log,
    );
    this.gate = this.createGate();
    this.refusal = CallRefusal.create(call, context, this.stream);
    this.sender = AttemptSender.create(call, context, this.log);
    this.outcomes = CallOutcomes.create(call, context);
    this.relay = ResponseRelay.create(response, call.headers.lastEventId);
    const { budget, log, relay, stream } = this;
    this.attempts = CallAttempts.create({ budget, log, relay, stream });
  }

  /** Starts the first attempt of a call.
   * @param call The call.
   * @param response Receives the response for the caller.
   * @param context Dependencies on the rest of the process. */
  static create(
    call: RoutedCall,
    response: CallerResponse,
    context: CallForwarderContext,
  ): CallForwarder {
    const forwarder = new CallForwarder(call, response, context);
    forwarder.sendToNext("first");
    return forwarder;
  }

  /** Applies a changed route; a shorter timeout also applies to calls in progress.
   * @param route The current route; undefined if it was removed. */
  applyRoute(route: Route | undefined): void {
    if (!this.isFinished && route) this.deadline.change(route.timeoutMs);
  }

  /** Refuses the call because its request is now held, unless the attempt in progress has already forwarded events: an
   * unanswered attempt is likely to crash one more upstream.
   * @param kind Error kind if the request was certainly not run. */
  refuseAsHeld(kind: ErrorKind): void {
    if (this.hasPartialResponse) return;
    this.refuseHeld(kind, "held while under way");
  }

  /** Fails the attempt that is outstanding at an upstream that has restarted: its old connection may never be closed.
   * @param upstream The instance before the restart.
   * @param startedAt Unix milliseconds of the restart; undefined if they are not known. */
  failAttemptAt(upstream: Upstream, startedAt: number | undefined): void {
    const attempt = this.attempts.findAt(upstream);
    if (this.isFinished || !attempt?.isInProgress) return;
    const mayBeNewInstance = attempt.mayHaveBeenSentAfter(startedAt);
    if (attempt.response.hasPartialResponse && mayBeNewInstance) {
      this.stream.recordUncertainVersion();
    }
    attempt.break("its upstream has started again");
  }

  /** Sends the request elsewhere if its attempt is in progress at an upstream that no host reaches any more.
   * @param upstream The upstream. */
  leaveLostUpstream(upstream: Upstream): void {
    const { latest } = this.attempts;
    if (latest?.upstream === upstream) latest.leaveLost();
  }

  /** Ends the call because the caller has disconnected. */
  endForCallerGone(): void {
    this.finish("caller_gone", "the caller closed its connection");
  }

  /** Ends the call because the process stops: refuses it as not run if no upstream can have run it, fails it if its
   * response has not begun, and otherwise cuts the response.
   * @param retryAfterMs Time after which its caller may retry, in milliseconds. */
  endForStop(retryAfterMs: number): StopEnd {
    const end = this.chooseStopEnd();
    this.refuse(
      end === "refused" ? "draining" : "upstream_failed",
      "the host has stopped",
      retryAfterMs,
    );
    return end;
  }

  /** Recent length of the pauses between events relative to their mean length; undefined if too few are known. */
  get paceRatio(): number | undefined {
    return this.pace.getPaceRatio(readClock());
  }

  /** Progress of the call, for the log of a stop that ends it. */
  describeProgress(): CallProgress {
    return {
      upstream: this.attempts.latest?.upstream.id,
      wasSent: this.attempts.mayHaveRun,
      events: this.relay.eventsForwarded,
      attempts: this.picker.attempts,
      hadMs: readClock() - this.call.receivedAt,
      remainingMs: this.deadline.remainingMs,
    };
  }

  private chooseStopEnd(): StopEnd {
    if (this.response.hasStarted) return "cut";
    return this.attempts.mayHaveRun ? "failed" : "refused";
  }

  private createGate(): AdmissionGate {
    return AdmissionGate.create({
      call: this.call,
      access: this.context,
      picker: this.picker,
      onAdmitted: () => this.sendToNext("first"),
      onRefused: ({ detail, retryAfterMs }) =>
        this.refuse("overloaded", detail, retryAfterMs),
    });
  }

  private spendRetry(cause: RepeatCause): boolean {
    const isAllowed = this.repeats.spend(cause, this.repeatProgress);
    if (isAllowed && cause === "error") this.outcomes.startSecondRun();
    return isAllowed;
  }

  private expire(): void {
    this.outcomes.recordFirstResponse();
    if (this.passOnError()) return;
    const durationMs = readClock() - this.call.receivedAt;
    const detail = `no answer within ${Math.round(durationMs)} ms`;
    this.refuse(this.attempts.mayHaveRun ? "timed_out" : "overloaded", detail);
  }

  private get repeatProgress(): RepeatProgress {
    return {
      attempt: this.picker.attempts,
      events: this.relay.eventsForwarded,
      remainingMs: this.deadline.remainingMs,
    };
  }

  /** Sends the request to the next upstream; refuses the call if none is left or the request would likely crash it. */
  private sendToNext(reason: string): void {
    if (!this.relay.canContinue) {
      return this.giveUp(`${reason}, after events without id`);
    }
    if (this.picker.attempts > 0 && !this.outcomes.maySendAgain) {
      return this.refuseHeld(this.outcomes.refusalKind, `held after ${reason}`);
    }
    const choice = this.picker.pick();
    if (choice) return this.sendAdmitted(choice, reason);
    const loan = this.picker.borrow();
    if (loan) void this.sendOnBorrowedSlot(loan, reason);
    else this.giveUp(`no upstream left after ${reason}`);
  }

  private sendAdmitted(choice: UpstreamChoice, reason: string): void {
    const isFirst = this.picker.attempts === 0;
    if (!isFirst || this.gate.admits(choice)) this.sendTo(choice, reason);
  }

  /** Sends the request once another host has lent a slot of an upstream; gives up if none does. */
  private async sendOnBorrowedSlot(
    loan: Promise<UpstreamChoice | undefined>,
    reason: string,
  ): Promise<void> {
    this.isBorrowing = true;
    const choice = await loan;
    this.isBorrowing = false;
    // An earlier attempt may have responded meanwhile.
    if (this.isFinished || this.attempts.latest) return;
    if (choice) this.sendTo(choice, reason);
    else this.giveUp(`no slot left after ${reason}`);
  }

  private sendTo(choice: UpstreamChoice, reason: string): void {
    const { upstream } = choice;
    this.picker.recordAttempt(upstream);
    this.hasPartialResponse = false;
    const outcomes = this.outcomes.startAttempt(choice);
    const { remainingMs } = this.deadline;
    if (remainingMs < MIN_REMAINING_MS) return this.giveUp("no time left");
    const { lastEventId } = this.relay;
    const continuesStream = this.stream.origin !== undefined;
    const plan = { choice, reason, remainingMs, lastEventId, continuesStream };
    const attempt = this.createAttempt(upstream, outcomes);
    this.attempts.start(attempt);
    attempt.watchSilence();
    this.stream.recordSend(upstream);
    attempt.send(plan, this.sender);
  }

  private createAttempt(
    upstream: Upstream,
    outcomes: AttemptOutcomes,
  ): CallAttempt {
    const { call, context, relay, log, listener, picker } = this;
    const number = picker.attempts;
    return CallAttempt.create(
      { call, context, upstream, number, outcomes, relay, log, listener },
    );
  }

  /** Sends the request to another upstream as well if it may run again and another upstream is available; otherwise
   * keeps waiting. */
  private sendElsewhere(
    attempt: CallAttempt,
    silentMs: number,
    cause: RepeatCause,
  ): void {
    if (this.isFinished || this.attempts.latest !== attempt) return;
    if (!this.budget.allowsRun(1)) return;
    if (!this.relay.canContinue) return;
    if (!this.outcomes.maySendAgain) return;
    if (!this.repeats.allows(cause, this.repeatProgress)) return;
    const alternative = this.picker.pick();
    if (!alternative || !this.budget.spendRetry(cause)) return;
    this.attempts.leave(attempt);
    this.sendTo(alternative, formatSilence(silentMs));
  }

  private onForwarded(attempt: CallAttempt, events: number): void {
    this.pace.recordEvents(events, readClock());
    this.hasPartialResponse = true;
    this.attempts.recordForwarded(attempt);
  }

  private onEnded(attempt: CallAttempt, end: AttemptEnd): void {
    const isRepeated = this.attempts.end(attempt, end);
    if (end.type === "answered") return this.finish("answered", end.detail);
    if (isRepeated) return this.sendToNext(end.detail);
    const isAnotherSent = this.attempts.latest || this.isBorrowing;
    if (!isAnotherSent) this.giveUp(end.detail);
  }

  /** Passes on an error response that was received; returns whether there is one. */
  private passOnError(): boolean {
    const status = this.attempts.passOnError();
    if (status === undefined) return false;
    this.finish("answered", `status ${status}`);
    return true;
  }

  /** Waits for the earlier attempts, because no upstream is left for another; without any, passes on an error response
   * or refuses the call. */
  private giveUp(detail: string): void {
    if (this.attempts.awaitOutstanding(detail) || this.passOnError()) return;
    this.refuse(this.refusal.chooseKind(this.budget.mayHaveRun), detail);
  }

  /** Refuses a call whose request likely crashes upstreams; as not run only if that is certain. */
  private refuseHeld(kind: ErrorKind, detail: string): void {
    this.refuse(this.attempts.mayHaveRun ? "upstream_failed" : kind, detail);
  }

  private refuse(
    kind: ErrorKind,
    detail: string,
    retryAfterMs?: number,
  ): void {
    if (this.isFinished) return;
    if (kind === "overloaded") {
      this.context.repeats.recordRefusal(this.call.service);
    }
    this.refusal.send(this.response, kind, detail, retryAfterMs);
    this.finish(
      this.relay.eventsForwarded > 0 ? "broken_off" : "refused",
      `${kind}: ${detail}`,
    );
  }

  private finish(result: CallOutcome["result"], detail: string): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.deadline.close();
    this.gate.close();
    this.stream.close();
    this.attempts.close();
    const wasOpen = this.response.close();
    this.context.onEnd(this, {
      result: wasOpen ? "broken_off" : result,
      detail,
      durationMs: readClock() - this.call.receivedAt,
      attempts: this.picker.attempts,
      wasOpen,
      pauses: this.pace.pauses,
      pauseMs: this.pace.meanPauseMs,
    });
  }
}
