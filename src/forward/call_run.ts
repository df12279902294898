import { readClock } from "../clock/clock.ts";
import { Failure } from "../errors/failure.ts";
import type { ErrorKind } from "../errors/error_kind.ts";
import type { Route } from "../published/configuration_schema.ts";
import type { UpstreamChoice } from "../upstreams/choose_upstream.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import { isFailure, promisesNotRun } from "./answer_status.ts";
import { AnswerRelay } from "./answer_relay.ts";
import {
  Attempt,
  type AttemptFailure,
  type AttemptRequest,
} from "./attempt.ts";
import { AttemptBudget } from "./attempt_budget.ts";
import { type AttemptProgress, CallLog } from "./call_log.ts";
import { CallDeadline } from "./call_deadline.ts";
import type { CallOutcome, CallRunContext } from "./call_run_context.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { AnswerHeaders } from "./caller_headers.ts";
import { buildAttemptRequest } from "./build_attempt_request.ts";
import { isDearToReread } from "./is_dear_to_reread.ts";
import {
  describeSilence,
  type Silence,
  SilenceWatch,
} from "./silence_watch.ts";
import type { RoutedCall } from "./routed_call.ts";

/** Least time left in which sending once more makes sense, in milliseconds. */
const LEAST_REMAINING_MS = 15;

/** One request on its way: attempts at upstreams until one gives the answer, or time or retries are used up. */
export class CallRun {
  private readonly tried = new Set<string>();
  private readonly budget: AttemptBudget;
  private readonly relay: AnswerRelay;
  private readonly log: CallLog;
  private attempt: Attempt | undefined;
  private isOver = false;
  private silence: SilenceWatch | undefined;
  private readonly deadline: CallDeadline;

  private constructor(
    /** The request. */
    readonly call: RoutedCall,
    private readonly answer: CallerAnswer,
    private readonly context: CallRunContext,
  ) {
    this.deadline = CallDeadline.create(call, () => this.expire());
    this.budget = AttemptBudget.create(call, context.spendRetry);
    this.log = CallLog.create(context.logger, call);
    this.relay = AnswerRelay.create(answer, call.headers.lastEventId);
  }

  /** Starts a run.
   * @param call The request.
   * @param answer Where the answer is given.
   * @param context What the run needs. */
  static create(
    call: RoutedCall,
    answer: CallerAnswer,
    context: CallRunContext,
  ): CallRun {
    const run = new CallRun(call, answer, context);
    run.next("first");
    return run;
  }

  /** Takes over a changed route; a shorter time-out holds for requests under way.
   * @param route The route as it is now; undefined where it is gone. */
  applyRoute(route: Route | undefined): void {
    if (!this.isOver && route) this.deadline.change(route.timeoutMs);
  }

  /** Ends the run where nothing was answered yet, for the request is held back: it is on its way to crash one more. */
  holdBack(): void {
    if (this.relay.isAnsweredInPart) return;
    this.refuseHeld("held while under way");
  }

  /** Fails the attempt on a start of an upstream that is no more, for nobody may end its connection.
   * @param upstream The start. */
  loseUpstream(upstream: Upstream): void {
    if (this.isOver || this.attempt?.upstream !== upstream) return;
    if (!this.attempt.isUnderWay) return;
    this.attempt.abandon();
    this.takeFailure("broken", "its upstream has started again");
  }

  /** Ends the run, for the caller is gone. */
  abandon(): void {
    this.finish("caller_gone", "the caller closed its connection");
  }

  private expire(): void {
    const durationMs = readClock() - this.call.receivedAt;
    const detail = `no answer within ${Math.round(durationMs)} ms`;
    this.refuse(this.mayHaveRun ? "timed_out" : "overloaded", detail);
  }

  /** Whether the request may have run: an attempt failed after it was sent, or one is under way. */
  private get mayHaveRun(): boolean {
    return this.budget.mayHaveRun || (this.attempt?.wasSent ?? false);
  }

  /** Whether a request that failed may be sent to another upstream, for all that it is blamed for. */
  private get maySendAgain(): boolean {
    const { fingerprint } = this.call;
    return this.context.crashes.maySendAgain(fingerprint);
  }

  private get progress(): AttemptProgress {
    return { attempt: this.tried.size, events: this.relay.eventsGiven };
  }

  /** Sends the request to the next upstream, or refuses it where there is none or it is likely to crash that too. */
  private next(reason: string): void {
    if (this.tried.size > 0 && !this.maySendAgain) {
      return this.refuseHeld(`held after ${reason}`);
    }
    const choice = this.context.choose(this.call, this.tried);
    if (choice) this.sendTo(choice, reason);
    else this.giveUp(`no upstream left after ${reason}`);
  }

  private sendTo(choice: UpstreamChoice, reason: string): void {
    const { call, context } = this;
    const { upstream } = choice;
    this.tried.add(upstream.id);
    this.relay.startAttempt();
    const { remainingMs } = this.deadline;
    if (remainingMs < LEAST_REMAINING_MS) return this.giveUp("no time left");
    this.watchForSilence(upstream);
    const prompt = context.placePrompt(call, upstream);
    const load = context.noteSend(choice);
    this.log.noteSent({ choice, reason, remainingMs, load, prompt });
    const { lastEventId } = this.relay;
    const fetchFrom = prompt?.fetchFrom;
    const own = {
      upstreamId: upstream.id,
      remainingMs,
      lastEventId,
      fetchFrom,
    };
    this.send(upstream, buildAttemptRequest(call, own, context.codec));
  }

  private watchForSilence(upstream: Upstream): void {
    this.silence?.close();
    this.silence = SilenceWatch.create(
      upstream,
      this.call.route,
      {
        onOverdue: ({ silentMs }) => this.takeOverdue(upstream, silentMs),
        onSilence: (silence) => this.takeSilence(upstream, silence),
      },
    );
  }

  private send(upstream: Upstream, request: AttemptRequest): void {
    this.attempt = Attempt.create(upstream, request, this.context.codec, {
      onHead: (status, answer) => this.takeHead(status, answer),
      onBytes: (bytes) => this.takeBytes(bytes),
      onEnd: () => this.takeEnd(),
      onFailure: (failure, detail) => this.takeFailure(failure, detail),
      onLateDecline: (status, answer) =>
        this.recordDecline(upstream, status, answer),
    });
  }

  private takeHead(status: number, answer: AnswerHeaders): void {
    const upstream = this.attempt!.upstream;
    if (answer.isNotRun) return this.takeDecline(upstream, status, answer);
    const isSuccess = status >= 200 && status < 300;
    const isOwn = answer.requestId === this.call.requestId;
    if (isSuccess && !(answer.hasProof && isOwn)) {
      this.attempt!.abandon();
      return this.takeFailure("broken", "a success without proof or id");
    }
    const isStream = isSuccess && answer.isEventStream;
    this.relay.takeHead({ status, answer }, isStream);
  }

  private takeDecline(
    upstream: Upstream,
    status: number,
    answer: AnswerHeaders,
  ): void {
    this.attempt!.abandon();
    this.attempt = undefined;
    this.budget.noteUnrun();
    this.recordDecline(upstream, status, answer);
    this.retryUnrun(`declined with ${status}`);
  }

  private recordDecline(
    upstream: Upstream,
    status: number,
    answer: AnswerHeaders,
  ): void {
    if (answer.isOtherUpstream) this.context.noteMoved(upstream);
    else upstream.availability.noteFull(readClock());
    const { availability } = answer;
    this.log.noteDeclined(upstream, status, availability, this.progress);
  }

  /** A silent upstream counts as unsound; where it is likely stuck the request goes elsewhere. */
  private takeSilence(upstream: Upstream, silence: Silence): void {
    if (this.isOver || this.attempt?.isPaused) return;
    const { silentMs, isLikelyStuck } = silence;
    this.log.noteTrouble(upstream, describeSilence(silentMs), this.progress);
    this.context.noteHealth(upstream, "silent");
    if (isLikelyStuck) this.sendElsewhere(upstream, silentMs);
  }

  /** Sends a request whose answer may be lost elsewhere, unless its prompt is dear to read a second time. */
  private takeOverdue(upstream: Upstream, silentMs: number): void {
    if (!isDearToReread(this.call)) this.sendElsewhere(upstream, silentMs);
  }

  /** Gives an attempt up for one at another upstream, where the request may run again and there is one; else it waits on. */
  private sendElsewhere(upstream: Upstream, silentMs: number): void {
    const isUnderWay = !this.isOver && this.attempt?.upstream === upstream;
    if (!isUnderWay || !this.budget.allowsRun(1)) return;
    if (!this.maySendAgain) return;
    const other = this.context.choose(this.call, this.tried);
    if (!other || !this.budget.spendRetry()) return;
    const wasSent = this.attempt?.wasSent ?? false;
    this.attempt?.abandon();
    if (wasSent) this.budget.noteRan();
    else this.budget.noteUnrun();
    this.sendTo(other, describeSilence(silentMs));
  }

  private takeBytes(bytes: Buffer): void {
    this.silence?.noteBytes();
    this.relay.takeBytes(bytes, this.attempt);
  }

  private takeEnd(): void {
    const upstream = this.attempt!.upstream;
    const { head } = this.relay;
    if (!head) return this.takeFailure("broken", "an end without a head");
    if (this.relay.isStream) return this.takeStreamEnd(upstream);
    const { status } = head;
    this.context.noteCompleted(this.call, this.attempt!.elapsedMs);
    this.context.crashes.noteServed(this.call.fingerprint);
    const { backoffMs } = head.answer.availability;
    if (isFailure(status)) {
      if (backoffMs === undefined) {
        this.context.noteHealth(upstream, "error_answer");
      }
      this.budget.noteRan();
      if (this.budget.spendAfterRun()) {
        return this.next(`answered with ${status}`);
      }
    } else this.context.noteHealth(upstream, "good");
    // A caller takes these for a promise that the request has not run, which the upstream did not say.
    if (promisesNotRun(status)) {
      return this.refuse("upstream_failed", `answered with ${status}`);
    }
    this.relay.giveWhole();
    this.finish("answered", `status ${status}`);
  }

  private takeStreamEnd(upstream: Upstream): void {
    if (this.relay.hasRest) {
      return this.takeFailure("broken", "the stream ended within an event");
    }
    this.context.noteHealth(upstream, "good");
    this.context.noteCompleted(this.call, this.attempt!.elapsedMs);
    this.context.crashes.noteServed(this.call.fingerprint);
    this.relay.endStream();
    this.finish("answered", `${this.relay.eventsGiven} events`);
  }

  private takeFailure(failure: AttemptFailure, detail: string): void {
    const upstream = this.attempt!.upstream;
    this.log.noteTrouble(upstream, detail, this.progress);
    if (failure !== "broken") return this.takeUnsent(upstream, failure, detail);
    this.context.noteHealth(upstream, "broken");
    this.context.crashes.noteBroken(
      upstream,
      this.call.fingerprint,
      this.relay.isAnsweredInPart,
    );
    this.budget.noteRan();
    if (this.budget.spendAfterRun()) return this.next(detail);
    this.refuse("upstream_failed", detail);
  }

  private takeUnsent(
    upstream: Upstream,
    failure: Exclude<AttemptFailure, "broken">,
    detail: string,
  ): void {
    this.budget.noteUnrun();
    if (failure === "not_sent") {
      this.context.noteHealth(upstream, "unreachable");
    }
    if (this.budget.spendAfterUnsent()) return this.next(detail);
    this.giveUp(detail);
  }

  /** Goes on after an attempt that certainly did not run. */
  private retryUnrun(detail: string): void {
    if (this.budget.spendAfterUnrun()) return this.next(detail);
    this.giveUp(detail);
  }

  /** Refuses: as not run where that is certain. */
  private giveUp(detail: string): void {
    this.refuse(
      this.budget.mayHaveRun ? "upstream_failed" : "overloaded",
      detail,
    );
  }

  /** Refuses a request that likely crashes upstreams: as not run where that is certain. */
  private refuseHeld(detail: string): void {
    this.refuse(
      this.mayHaveRun ? "upstream_failed" : "crashes_upstreams",
      detail,
    );
  }

  /** Refuses; upstreams' own word tells when the caller may come back, but for a request that is held by itself. */
  private refuse(kind: ErrorKind, detail: string): void {
    if (this.isOver) return;
    const retryAfterMs = kind === "crashes_upstreams"
      ? undefined
      : this.context.getRetryAfterMs(this.call.service);
    this.answer.refuse(Failure.create(kind, detail, retryAfterMs));
    this.finish(
      this.relay.eventsGiven > 0 ? "broken_off" : "refused",
      `${kind}: ${detail}`,
    );
  }

  private finish(result: CallOutcome["result"], detail: string): void {
    if (this.isOver) return;
    this.isOver = true;
    this.deadline.close();
    this.silence?.close();
    this.attempt?.abandon();
    const durationMs = readClock() - this.call.receivedAt;
    const attempts = this.tried.size;
    this.context.onEnd(this, { result, detail, durationMs, attempts });
  }
}
