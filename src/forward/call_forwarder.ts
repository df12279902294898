import { readClock } from "../clock/clock.ts";
import { Failure } from "../errors/failure.ts";
import type { ErrorKind } from "../errors/error_kind.ts";
import type { Route } from "../published/configuration_schema.ts";
import type { UpstreamChoice } from "../upstreams/choose_upstream.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import { isFailureStatus, isNotRunStatus } from "./response_status.ts";
import { ResponseRelay } from "./response_relay.ts";
import {
  Attempt,
  type AttemptFailure,
  type AttemptRequest,
} from "./attempt.ts";
import { AttemptBudget } from "./attempt_budget.ts";
import { type AttemptProgress, CallLog } from "./call_log.ts";
import { CallDeadline } from "./call_deadline.ts";
import type {
  CallForwarderContext,
  CallOutcome,
} from "./call_forwarder_context.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { ResponseHeaders } from "./caller_headers.ts";
import { buildAttemptRequest } from "./build_attempt_request.ts";
import { formatSilence } from "./silence_detector.ts";
import { SilenceHandler } from "./silence_handler.ts";
import type { RoutedCall } from "./routed_call.ts";

/** An attempt is not started with less time than this left, in milliseconds. */
const MIN_REMAINING_MS = 15;

/** Forwards one call: makes attempts at upstreams until one responds or the deadline or the retries are exhausted. */
export class CallForwarder {
  private readonly triedUpstreamIds = new Set<string>();
  private readonly budget: AttemptBudget;
  private readonly relay: ResponseRelay;
  private readonly log: CallLog;
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
    this.budget = AttemptBudget.create(call, () => this.spendRetry());
    this.log = CallLog.create(context.logger, call);
    this.relay = ResponseRelay.create(response, call.headers.lastEventId);
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
   * unanswered attempt is likely to crash one more upstream. */
  refuseAsHeld(): void {
    if (this.relay.hasPartialResponse) return;
    this.refuseHeld("held while under way");
  }

  /** Fails the attempt in progress at an upstream that has restarted: its old connection may never be closed.
   * @param upstream The instance before the restart. */
  failAttemptAt(upstream: Upstream): void {
    if (this.isFinished || this.attempt?.upstream !== upstream) return;
    if (!this.attempt.isInProgress) return;
    this.attempt.abandon();
    this.onFailure("broken", "its upstream has started again");
  }

  /** Ends the call because the caller has disconnected. */
  endForCallerGone(): void {
    this.finish("caller_gone", "the caller closed its connection");
  }

  private createSilenceHandler(): SilenceHandler {
    return SilenceHandler.create({
      call: this.call,
      context: this.context,
      isReadingPaused: () => this.attempt?.isPaused ?? false,
      logSilence: (upstream, silentMs) =>
        this.log.logFailed(upstream, formatSilence(silentMs), this.progress),
      sendElsewhere: (upstream, silentMs) =>
        this.sendElsewhere(upstream, silentMs),
    });
  }

  private spendRetry(): boolean {
    const decision = this.context.spendRetry(this.call.service);
    this.log.logRetryDecision(decision, this.progress);
    return decision.isAllowed;
  }

  private expire(): void {
    const durationMs = readClock() - this.call.receivedAt;
    const detail = `no answer within ${Math.round(durationMs)} ms`;
    this.refuse(this.mayHaveRun ? "timed_out" : "overloaded", detail);
  }

  /** Whether the request may have run: an attempt failed after it was sent, or one that was sent is in progress. */
  private get mayHaveRun(): boolean {
    return this.budget.mayHaveRun || (this.attempt?.wasSent ?? false);
  }

  /** Whether the crash guard allows sending a request that failed to another upstream. */
  private get maySendAgain(): boolean {
    const { fingerprint } = this.call;
    return this.context.crashes.mayRetry(fingerprint);
  }

  private get progress(): AttemptProgress {
    return {
      attempt: this.triedUpstreamIds.size,
      events: this.relay.eventsForwarded,
    };
  }

  /** Sends the request to the next upstream; refuses the call if none is left or the request would likely crash it. */
  private sendToNext(reason: string): void {
    if (this.triedUpstreamIds.size > 0 && !this.maySendAgain) {
      return this.refuseHeld(`held after ${reason}`);
    }
    const choice = this.context.choose(this.call, this.triedUpstreamIds);
    if (choice) return this.sendTo(choice, reason);
    const loan = this.context.borrowSlot(this.call, this.triedUpstreamIds);
    if (loan) void this.sendOnBorrowedSlot(loan, reason);
    else this.giveUp(`no upstream left after ${reason}`);
  }

  /** Sends the request once another host has lent a slot of an upstream; gives up if none does. */
  private async sendOnBorrowedSlot(
    loan: Promise<boolean>,
    reason: string,
  ): Promise<void> {
    // The previous attempt has ended; its upstream need not be watched any more.
    this.silences.close();
    this.attempt = undefined;
    const requestedAt = readClock();
    const isGranted = await loan;
    this.log.logSlotRequested(isGranted, readClock() - requestedAt);
    if (this.isFinished) return;
    const choice = this.context.choose(this.call, this.triedUpstreamIds);
    if (choice) this.sendTo(choice, reason);
    else this.giveUp(`no slot left after ${reason}`);
  }

  private sendTo(choice: UpstreamChoice, reason: string): void {
    const { call, context } = this;
    const { upstream } = choice;
    this.triedUpstreamIds.add(upstream.id);
    this.relay.startAttempt();
    const { remainingMs } = this.deadline;
    if (remainingMs < MIN_REMAINING_MS) return this.giveUp("no time left");
    this.silences.watch(upstream);
    const prompt = context.placePrompt(call, upstream);
    const load = context.recordSend(choice);
    const { lastEventId } = this.relay;
    this.log.logSent({
      choice,
      reason,
      remainingMs,
      lastEventId,
      load,
      prompt,
    });
    const fetchFrom = prompt?.fetchFrom;
    const attemptHeaders = {
      upstreamId: upstream.id,
      remainingMs,
      lastEventId,
      fetchFrom,
    };
    this.send(
      upstream,
      buildAttemptRequest(call, attemptHeaders, context.codec),
    );
  }

  private send(upstream: Upstream, request: AttemptRequest): void {
    this.attempt = Attempt.create(upstream, request, this.context.codec, {
      onHead: (status, headers) => this.onHead(status, headers),
      onBytes: (bytes) => this.onBytes(bytes),
      onEnd: () => this.onEnd(),
      onFailure: (failure, detail) => this.onFailure(failure, detail),
      onLateDecline: (status, headers) =>
        this.recordDecline(upstream, status, headers),
    });
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
    this.relay.setHead({ status, headers }, isStream);
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
    this.retryAfterDecline(`declined with ${status}`);
  }

  private recordDecline(
    upstream: Upstream,
    status: number,
    headers: ResponseHeaders,
  ): void {
    if (headers.isFromOtherUpstream) this.context.recordMoved(upstream);
    else upstream.availability.recordDecline(readClock());
    const { availability } = headers;
    this.log.logDeclined(upstream, status, availability, this.progress);
  }

  /** Replaces the attempt by one at another upstream if the request may run again and another upstream is available;
   * otherwise keeps waiting. */
  private sendElsewhere(upstream: Upstream, silentMs: number): void {
    const isInProgress = !this.isFinished &&
      this.attempt?.upstream === upstream;
    if (!isInProgress || !this.budget.allowsRun(1)) return;
    if (!this.maySendAgain) return;
    const alternative = this.context.choose(this.call, this.triedUpstreamIds);
    if (!alternative || !this.budget.spendRetry()) return;
    const wasSent = this.attempt?.wasSent ?? false;
    this.attempt?.abandon();
    if (wasSent) this.budget.recordRan();
    else this.budget.recordNotRun();
    this.sendTo(alternative, formatSilence(silentMs));
  }

  private onBytes(bytes: Buffer): void {
    this.silences.recordBytes();
    this.relay.pushBytes(bytes, this.attempt);
  }

  private onEnd(): void {
    const upstream = this.attempt!.upstream;
    const { head } = this.relay;
    if (!head) return this.onFailure("broken", "an end without a head");
    if (this.relay.isStream) return this.onStreamEnd(upstream);
    const { status } = head;
    this.context.recordCompletion(this.call, this.attempt!.elapsedMs);
    this.context.crashes.recordCompletion(this.call.fingerprint);
    const { backoffMs } = head.headers.availability;
    if (isFailureStatus(status)) {
      if (backoffMs === undefined) {
        this.context.recordHealth(upstream, "error_answer");
      }
      this.budget.recordRan();
      if (this.budget.spendRetryAfterRun()) {
        return this.sendToNext(`answered with ${status}`);
      }
    } else this.recordSuccess(upstream);
    // Callers read these statuses as a promise that the request has not run, which the upstream did not state.
    if (isNotRunStatus(status)) {
      return this.refuse("upstream_failed", `answered with ${status}`);
    }
    this.relay.sendComplete();
    this.finish("answered", `status ${status}`);
  }

  private recordSuccess(upstream: Upstream): void {
    this.context.recordHealth(upstream, this.silences.successSignal);
  }

  private onStreamEnd(upstream: Upstream): void {
    if (this.relay.hasIncompleteEvent) {
      return this.onFailure("broken", "the stream ended within an event");
    }
    this.recordSuccess(upstream);
    this.context.recordCompletion(this.call, this.attempt!.elapsedMs);
    this.context.crashes.recordCompletion(this.call.fingerprint);
    this.relay.endStream();
    this.finish("answered", `${this.relay.eventsForwarded} events`);
  }

  private onFailure(failure: AttemptFailure, detail: string): void {
    const upstream = this.attempt!.upstream;
    this.log.logFailed(upstream, detail, this.progress);
    if (failure !== "broken") return this.onUnsent(upstream, failure, detail);
    this.context.recordHealth(upstream, "broken");
    this.context.crashes.recordInterruption(
      upstream,
      this.call.fingerprint,
      this.relay.hasPartialResponse,
    );
    this.budget.recordRan();
    if (this.budget.spendRetryAfterRun()) return this.sendToNext(detail);
    this.refuse("upstream_failed", detail);
  }

  private onUnsent(
    upstream: Upstream,
    failure: Exclude<AttemptFailure, "broken">,
    detail: string,
  ): void {
    this.budget.recordNotRun();
    if (failure !== "withheld") {
      this.context.recordHealth(upstream, "unreachable");
    }
    if (this.budget.allowsRetryAfterUnsent()) return this.sendToNext(detail);
    this.giveUp(detail);
  }

  /** Retries or gives up after an attempt that certainly did not run the request. */
  private retryAfterDecline(detail: string): void {
    if (this.budget.spendRetryAfterNotRun()) return this.sendToNext(detail);
    this.giveUp(detail);
  }

  /** Refuses the call; as not run only if that is certain. */
  private giveUp(detail: string): void {
    if (this.budget.mayHaveRun) return this.refuse("upstream_failed", detail);
    const isUnreachable = this.context.isUnreachable(this.call.service);
    this.refuse(isUnreachable ? "no_upstream" : "overloaded", detail);
  }

  /** Refuses a call whose request likely crashes upstreams; as not run only if that is certain. */
  private refuseHeld(detail: string): void {
    this.refuse(
      this.mayHaveRun ? "upstream_failed" : "crashes_upstreams",
      detail,
    );
  }

  /** Refuses the call. The retry time comes from the upstreams' backoffs, except for a held request, which gets the
   * default of its error kind. */
  private refuse(kind: ErrorKind, detail: string): void {
    if (this.isFinished) return;
    const retryAfterMs = kind === "crashes_upstreams"
      ? undefined
      : this.context.getRetryAfterMs(this.call.service);
    this.response.refuse(Failure.create(kind, detail, retryAfterMs));
    this.finish(
      this.relay.eventsForwarded > 0 ? "broken_off" : "refused",
      `${kind}: ${detail}`,
    );
  }

  private finish(result: CallOutcome["result"], detail: string): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.deadline.close();
    this.silences.close();
    this.attempt?.abandon();
    const durationMs = readClock() - this.call.receivedAt;
    const attempts = this.triedUpstreamIds.size;
    this.context.onEnd(this, { result, detail, durationMs, attempts });
  }
}
