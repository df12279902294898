import type { RepeatCause } from "../scheduling/decide_repeat.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import type { Attempt, AttemptFailure } from "./attempt.ts";
import type { AttemptEnd } from "./attempt_end.ts";
import type { AttemptOutcomes } from "./attempt_outcomes.ts";
import { AttemptResponse } from "./attempt_response.ts";
import type { AttemptPlan, AttemptSender } from "./attempt_sender.ts";
import type { CallForwarderContext } from "./call_forwarder_context.ts";
import type { AttemptProgress, CallLog } from "./call_log.ts";
import type { ResponseHeaders } from "./caller_headers.ts";
import { completeResponse } from "./response_completion.ts";
import type { ResponseRelay } from "./response_relay.ts";
import type { RoutedCall } from "./routed_call.ts";
import { formatSilence } from "./silence_detector.ts";
import { SilenceHandler } from "./silence_handler.ts";

/** Receives what happens to an attempt of a call. */
export interface CallAttemptListener {
  /** Events of the attempt's response were forwarded; `events` is their number. */
  onForwarded(attempt: CallAttempt, events: number): void;
  /** The attempt has ended; called at most once, and not if it was abandoned. */
  onEnded(attempt: CallAttempt, end: AttemptEnd): void;
  /** The upstream is silent, so that the request should be sent elsewhere. */
  onSilent(attempt: CallAttempt, silentMs: number, cause: RepeatCause): void;
}

/** Dependencies of a {@link CallAttempt}. */
export interface CallAttemptOptions {
  call: RoutedCall;
  context: CallForwarderContext;
  upstream: Upstream;
  /** Number of the attempt, starting at 1. */
  number: number;
  outcomes: AttemptOutcomes;
  relay: ResponseRelay;
  log: CallLog;
  listener: CallAttemptListener;
}

/** One attempt of a call together with its response: records what it shows, and forwards what is sound. */
export class CallAttempt {
  /** The response, as far as it was received. */
  readonly response: AttemptResponse;
  private readonly silences: SilenceHandler;
  private attempt: Attempt | undefined;
  private hasEnded = false;
  private isLeft = false;
  private wasEvicted = false;

  private constructor(private readonly options: CallAttemptOptions) {
    this.response = AttemptResponse.create({
      memory: options.context.memory,
      onEvicted: (problem) => this.onEvicted(problem),
    });
    this.silences = this.createSilenceHandler();
  }

  /** Creates an attempt that was not sent.
   * @param options Its dependencies. */
  static create(options: CallAttemptOptions): CallAttempt {
    return new CallAttempt(options);
  }

  /** The upstream of the attempt. */
  get upstream(): Upstream {
    return this.options.upstream;
  }

  /** Number of the attempt, starting at 1. */
  get number(): number {
    return this.options.number;
  }

  /** Whether the response was discarded after the attempt had ended, because all responses together held too much. */
  get isEvicted(): boolean {
    return this.wasEvicted;
  }

  /** Whether bytes of the request may have left this host. */
  get wasSent(): boolean {
    return this.attempt?.wasSent ?? false;
  }

  /** Whether the attempt has neither ended nor been abandoned. */
  get isInProgress(): boolean {
    return this.attempt?.isInProgress ?? false;
  }

  /** Sends the request.
   * @param plan What is sent.
   * @param sender Sends it. */
  send(plan: AttemptPlan, sender: AttemptSender): void {
    this.attempt = sender.send(plan, {
      onHead: (status, headers) => this.onHead(status, headers),
      onBytes: (bytes) => this.onBytes(bytes),
      onEnd: () => this.onEnd(),
      onFailure: (failure, detail) => this.onFailure(failure, detail),
      onLateDecline: (status, headers) => this.recordDecline(status, headers),
    });
  }

  /** Starts monitoring the silences of the upstream. */
  watchSilence(): void {
    this.silences.watch();
  }

  /** Returns to the attempt, which has just continued a stream, and monitors the silences of its upstream again. */
  resume(): void {
    this.isLeft = false;
    this.silences.watch();
    this.silences.recordBytes();
  }

  /** Leaves the attempt outstanding, and stops monitoring the silences of its upstream. */
  leave(): void {
    this.isLeft = true;
    this.silences.close();
  }

  /** Sends the request elsewhere because no host reaches the upstream any more, if that has been silent for a while. */
  leaveLost(): void {
    this.silences.leaveLost();
  }

  /** Whether the request may have been sent after a moment, as far as the clocks of two machines agree.
   * @param moment Unix milliseconds; undefined if they are not known. */
  mayHaveBeenSentAfter(moment: number | undefined): boolean {
    return this.attempt?.mayHaveBeenSentAfter(moment) ?? false;
  }

  /** Abandons the attempt and fails it.
   * @param detail Why it failed. */
  break(detail: string): void {
    this.abandon();
    this.onFailure("broken", detail);
  }

  /** Abandons the attempt; nothing but a late decline is recorded of it after this. */
  abandon(): void {
    this.silences.close();
    this.attempt?.abandon();
    this.response.discard();
  }

  private createSilenceHandler(): SilenceHandler {
    const { call, context, upstream, log, listener } = this.options;
    return SilenceHandler.create({
      call,
      context,
      upstream,
      isReadingPaused: () => this.attempt?.isPaused ?? false,
      logSilence: (silentMs) =>
        log.logFailed(upstream, formatSilence(silentMs), this.progress),
      sendElsewhere: (silentMs, cause) =>
        listener.onSilent(this, silentMs, cause),
    });
  }

  private get progress(): AttemptProgress {
    const { number, relay } = this.options;
    return { attempt: number, events: relay.eventsForwarded };
  }

  private onHead(status: number, headers: ResponseHeaders): void {
    const { context, call, upstream, relay } = this.options;
    context.recordDeclineLimit(upstream, headers.declineLimit);
    if (headers.isNotRun) return this.onDecline(status, headers);
    const isSuccess = status >= 200 && status < 300;
    const isForThisRequest = headers.requestId === call.requestId;
    if (isSuccess && !(headers.hasSeal && isForThisRequest)) {
      return this.break("a success without proof or id");
    }
    const isStream = isSuccess && headers.isEventStream;
    this.response.setHead({ status, headers }, isStream);
    if (relay.hasStarted && !isStream) {
      this.rejectResponse(`status ${status} does not continue the stream`);
    }
  }

  private onDecline(status: number, headers: ResponseHeaders): void {
    this.abandon();
    this.recordDecline(status, headers);
    this.end({ type: "declined", detail: `declined with ${status}` });
  }

  private recordDecline(status: number, headers: ResponseHeaders): void {
    const { outcomes, log, upstream } = this.options;
    outcomes.recordDecline(headers);
    log.logDeclined(upstream, status, headers.availability, this.progress);
  }

  private onBytes(bytes: Buffer): void {
    const { outcomes, relay, listener } = this.options;
    const { response, silences, attempt } = this;
    silences.recordBytes();
    const eventsBefore = response.eventsForwarded;
    const problem = relay.pushBytes(response, bytes, attempt);
    if (problem !== undefined) return this.rejectResponse(problem);
    const events = response.eventsForwarded - eventsBefore;
    if (events === 0) return;
    if (eventsBefore === 0) outcomes.recordBegin(attempt?.elapsedMs ?? 0);
    listener.onForwarded(this, events);
  }

  private onEvicted(problem: string): void {
    if (!this.hasEnded) return this.rejectResponse(problem);
    this.wasEvicted = true;
    this.response.discard();
  }

  /** Ends the attempt because its response can't be passed on. */
  private rejectResponse(detail: string): void {
    const { outcomes, log, upstream } = this.options;
    this.abandon();
    log.logFailed(upstream, detail, this.progress);
    outcomes.recordError(this.response.head!.headers);
    this.end({ type: "unusable", detail });
  }

  private onEnd(): void {
    const { outcomes, relay } = this.options;
    const end = completeResponse({
      response: this.response,
      outcomes,
      elapsedMs: this.attempt!.elapsedMs,
      signal: this.silences.successSignal,
    }, relay);
    if (end.type === "failed") this.onFailure(end.failure, end.detail);
    else this.end(end);
  }

  private onFailure(failure: AttemptFailure, detail: string): void {
    const { outcomes, log, upstream } = this.options;
    log.logFailed(upstream, detail, this.progress);
    const { hasPartialResponse } = this.response;
    outcomes.recordFailure(failure, hasPartialResponse, this.isLeft);
    this.end({ type: "failed", failure, detail });
  }

  private end(end: AttemptEnd): void {
    this.hasEnded = true;
    this.silences.close();
    this.options.listener.onEnded(this, end);
  }
}
