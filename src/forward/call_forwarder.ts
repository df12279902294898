import { readClock } from "../clock/clock.ts";
import type { ErrorKind } from "../errors/error_kind.ts";
import type { Route } from "../published/configuration_schema.ts";
import type { RepeatCause } from "../scheduling/decide_repeat.ts";
import type { UpstreamChoice } from "../upstreams/choose_upstream.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import { ResponseCompletion } from "./response_completion.ts";
import { ResponseRelay } from "./response_relay.ts";
import {
  type Attempt,
  type AttemptFailure,
  type AttemptListener,
} from "./attempt.ts";
import { AdmissionGate } from "./admission_gate.ts";
import { AttemptBudget } from "./attempt_budget.ts";
import { AttemptOutcomes } from "./attempt_outcomes.ts";
import { AttemptSender } from "./attempt_sender.ts";
import { RepeatGate, type RepeatProgress } from "./repeat_gate.ts";
import { type AttemptProgress, CallLog } from "./call_log.ts";
import { CallDeadline } from "./call_deadline.ts";
import { CallRefusal } from "./call_refusal.ts";
import type {
  CallForwarderContext,
  CallOutcome,
} from "./call_forwarder_context.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { CallProgress, StopEnd } from "./call_progress.ts";
import type { ResponseHeaders } from "./caller_headers.ts";
import { formatSilence } from "./silence_detector.ts";
import { SilenceHandler } from "./silence_handler.ts";
import { StreamPace } from "./stream_pace.ts";
import { StreamTracker } from "./stream_tracker.ts";
import type { RoutedCall } from "./routed_call.ts";
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
  private readonly outcomes: AttemptOutcomes;
  private readonly repeats: RepeatGate;
  private readonly completion: ResponseCompletion;
  private readonly pace = StreamPace.create();
  private attempt: Attempt | undefined;
  private isFinished = false;
  private readonly silences: SilenceHandler;
  private readonly deadline: CallDeadline;

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
    this.outcomes = AttemptOutcomes.create(call, context);
    this.relay = ResponseRelay.create({
      response,
      lastEventId: call.headers.lastEventId,
      memory: context.memory,
      onEvicted: (problem) => this.onUnusableBody(problem),
    });
    const { relay, outcomes, budget } = this;
    this.completion = ResponseCompletion.create({ relay, outcomes, budget });
    this.silences = this.createSilenceHandler();
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
    if (this.relay.hasPartialResponse) return;
    this.refuseHeld(kind, "held while under way");
  }

  /** Fails the attempt in progress at an upstream that has restarted: its old connection may never be closed.
   * @param upstream The instance before the restart.
   * @param startedAt Unix milliseconds of the restart; undefined if they are not known. */
  failAttemptAt(upstream: Upstream, startedAt: number | undefined): void {
    if (this.isFinished || this.attempt?.upstream !== upstream) return;
    if (!this.attempt.isInProgress) return;
    const mayBeNewInstance = this.attempt.mayHaveBeenSentAfter(startedAt);
    if (this.relay.hasPartialResponse && mayBeNewInstance) {
      this.stream.recordUncertainVersion();
    }
    this.attempt.abandon();
    this.onFailure("broken", "its upstream has started again");
  }

  /** Sends the request elsewhere if its attempt is in progress at an upstream that no host reaches any more.
   * @param upstream The upstream. */
  leaveLostUpstream(upstream: Upstream): void {
    if (this.attempt?.upstream === upstream) this.silences.leaveLost(upstream);
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
      upstream: this.attempt?.upstream.id,
      wasSent: this.mayHaveRun,
      events: this.relay.eventsForwarded,
      attempts: this.picker.attempts,
      hadMs: readClock() - this.call.receivedAt,
      remainingMs: this.deadline.remainingMs,
    };
  }

  private chooseStopEnd(): StopEnd {
    if (this.response.hasStarted) return "cut";
    return this.mayHaveRun ? "failed" : "refused";
  }

  private createSilenceHandler(): SilenceHandler {
    return SilenceHandler.create({
      call: this.call,
      context: this.context,
      isReadingPaused: () => this.attempt?.isPaused ?? false,
      logSilence: (upstream, silentMs) =>
        this.log.logFailed(upstream, formatSilence(silentMs), this.progress),
      sendElsewhere: (upstream, silentMs, cause) =>
        this.sendElsewhere(upstream, silentMs, cause),
    });
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
    const durationMs = readClock() - this.call.receivedAt;
    const detail = `no answer within ${Math.round(durationMs)} ms`;
    this.refuse(this.mayHaveRun ? "timed_out" : "overloaded", detail);
  }

  /** Whether the request may have run: an attempt failed after it was sent, or one that was sent is in progress. */
  private get mayHaveRun(): boolean {
    return this.budget.mayHaveRun || (this.attempt?.wasSent ?? false);
  }

  private get progress(): AttemptProgress {
    return {
      attempt: this.picker.attempts,
      events: this.relay.eventsForwarded,
    };
  }

  private get repeatProgress(): RepeatProgress {
    return { ...this.progress, remainingMs: this.deadline.remainingMs };
  }

  /** Sends the request to the next upstream; refuses the call if none is left or the request would likely crash it. */
  private sendToNext(reason: string): void {
    if (!this.relay.canContinue) {
      return this.refuse(
        "upstream_failed",
        `${reason}, after events without id`,
      );
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
    // The previous attempt has ended; its upstream need not be watched any more.
    this.silences.close();
    this.attempt = undefined;
    const choice = await loan;
    if (this.isFinished) return;
    if (choice) this.sendTo(choice, reason);
    else this.giveUp(`no slot left after ${reason}`);
  }

  private sendTo(choice: UpstreamChoice, reason: string): void {
    const { upstream } = choice;
    this.picker.recordAttempt(upstream);
    this.relay.startAttempt();
    this.outcomes.startAttempt(choice);
    const { remainingMs } = this.deadline;
    if (remainingMs < MIN_REMAINING_MS) return this.giveUp("no time left");
    this.silences.watch(upstream);
    const { lastEventId } = this.relay;
    const plan = { choice, reason, remainingMs, lastEventId };
    this.stream.recordSend(upstream);
    this.attempt = this.sender.send(plan, this.createListener(upstream));
  }

  private createListener(upstream: Upstream): AttemptListener {
    return {
      onHead: (status, headers) => this.onHead(status, headers),
      onBytes: (bytes) => this.onBytes(bytes),
      onEnd: () => this.onEnd(),
      onFailure: (failure, detail) => this.onFailure(failure, detail),
      onLateDecline: (status, headers) =>
        this.recordDecline(upstream, status, headers),
    };
  }

  private onHead(status: number, headers: ResponseHeaders): void {
    const upstream = this.attempt!.upstream;
    this.context.recordDeclineLimit(upstream, headers.declineLimit);
    if (headers.isNotRun) return this.onDecline(upstream, status, headers);
    const isSuccess = status >= 200 && status < 300;
    const isForThisRequest = headers.requestId === this.call.requestId;
    if (isSuccess && !(headers.hasSeal && isForThisRequest)) {
      this.attempt!.abandon();
      return this.onFailure("broken", "a success without proof or id");
    }
    const isStream = isSuccess && headers.isEventStream;
    if (this.response.hasStarted && !isStream) {
      const detail = `status ${status} does not continue the stream`;
      return this.onUnusableResponse(headers, detail);
    }
    this.relay.setHead({ status, headers }, isStream);
  }

  private onUnusableBody(problem: string): void {
    this.onUnusableResponse(this.relay.head!.headers, problem);
  }

  /** Ends an attempt whose response can't be passed on: it does not continue the stream that the caller is receiving,
   * or exceeds a limit. */
  private onUnusableResponse(
    headers: ResponseHeaders,
    detail: string,
  ): void {
    const { upstream } = this.attempt!;
    this.attempt!.abandon();
    this.log.logFailed(upstream, detail, this.progress);
    this.outcomes.recordError(upstream, headers);
    this.budget.recordRan();
    if (this.budget.spendRetryAfterRun("error")) this.sendToNext(detail);
    else this.refuse("upstream_failed", detail);
  }

  private onDecline(
    upstream: Upstream,
    status: number,
    headers: ResponseHeaders,
  ): void {
    this.attempt!.abandon();
    this.attempt = undefined;
    this.budget.recordNotRun();
    this.recordDecline(upstream, status, headers);
    const detail = `declined with ${status}`;
    if (this.budget.spendRetryAfterNotRun()) this.sendToNext(detail);
    else this.giveUp(detail);
  }

  private recordDecline(
    upstream: Upstream,
    status: number,
    headers: ResponseHeaders,
  ): void {
    this.outcomes.recordDecline(upstream, headers);
    const { availability } = headers;
    this.log.logDeclined(upstream, status, availability, this.progress);
  }

  /** Replaces the attempt by one at another upstream if the request may run again and another upstream is available;
   * otherwise keeps waiting. */
  private sendElsewhere(
    upstream: Upstream,
    silentMs: number,
    cause: RepeatCause,
  ): void {
    const isInProgress = !this.isFinished &&
      this.attempt?.upstream === upstream;
    if (!isInProgress || !this.budget.allowsRun(1)) return;
    if (!this.relay.canContinue) return;
    if (!this.outcomes.maySendAgain) return;
    if (!this.repeats.allows(cause, this.repeatProgress)) return;
    const alternative = this.picker.pick();
    if (!alternative || !this.budget.spendRetry(cause)) return;
    const wasSent = this.attempt?.wasSent ?? false;
    this.attempt?.abandon();
    if (wasSent) this.budget.recordRan();
    else this.budget.recordNotRun();
    this.sendTo(alternative, formatSilence(silentMs));
  }

  private onBytes(bytes: Buffer): void {
    this.silences.recordBytes();
    const { hasPartialResponse: hadPartialResponse, eventsForwarded } =
      this.relay;
    const problem = this.relay.pushBytes(bytes, this.attempt);
    if (problem !== undefined) return this.onUnusableBody(problem);
    const newEvents = this.relay.eventsForwarded - eventsForwarded;
    if (newEvents > 0) this.pace.recordEvents(newEvents, readClock());
    if (!this.relay.hasPartialResponse) return;
    if (!hadPartialResponse) this.recordBegin();
    this.stream.recordEvent();
  }

  private recordBegin(): void {
    this.outcomes.recordBegin(this.attempt?.elapsedMs ?? 0);
  }

  private onEnd(): void {
    const { successSignal } = this.silences;
    const step = this.completion.complete(this.attempt!, successSignal);
    switch (step.type) {
      case "answered":
        return this.finish("answered", step.detail);
      case "failed":
        return this.onFailure("broken", step.detail);
      case "retry":
        return this.sendToNext(step.reason);
      case "refused":
        return this.refuse("upstream_failed", step.detail);
    }
  }

  private onFailure(failure: AttemptFailure, detail: string): void {
    const upstream = this.attempt!.upstream;
    this.log.logFailed(upstream, detail, this.progress);
    const { hasPartialResponse } = this.relay;
    this.outcomes.recordFailure(upstream, failure, hasPartialResponse);
    if (this.budget.spendRetryAfterFailure(failure)) {
      return this.sendToNext(detail);
    }
    if (failure === "broken") this.refuse("upstream_failed", detail);
    else this.giveUp(detail);
  }

  /** Refuses the call because no upstream is left. */
  private giveUp(detail: string): void {
    this.refuse(this.refusal.chooseKind(this.budget.mayHaveRun), detail);
  }

  /** Refuses a call whose request likely crashes upstreams; as not run only if that is certain. */
  private refuseHeld(kind: ErrorKind, detail: string): void {
    this.refuse(this.mayHaveRun ? "upstream_failed" : kind, detail);
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
    this.silences.close();
    this.stream.close();
    this.attempt?.abandon();
    this.relay.discard();
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
