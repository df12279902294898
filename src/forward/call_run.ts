import { Failure } from "../errors/failure.ts";
import type { ErrorKind } from "../errors/error_kind.ts";
import type { Logger } from "../logging/logger.ts";
import type { Route } from "../published/configuration_schema.ts";
import type { HealthSign } from "../upstreams/upstream_health.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import { Attempt, type AttemptFailure } from "./attempt.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { AnswerHeaders, HeaderCodec } from "./caller_headers.ts";
import { EventSplitter } from "./event_splitter.ts";
import { type Silence, SilenceWatch } from "./silence_watch.ts";
import { mayRunAgain, type RoutedCall } from "./routed_call.ts";

/** Upstreams that a request may be brought to without running there: out of reach, full, or gone. */
const MAX_UNRUN_ATTEMPTS = 4;
/** Time for which an upstream that said it is full is left out, in milliseconds. */
const FULL_FOR_MS = 150;
/** Least time left in which sending once more makes sense, in milliseconds. */
const LEAST_REMAINING_MS = 15;

/** What a run needs of the rest of the process. */
export interface CallRunContext {
  logger: Logger;
  codec: HeaderCodec;
  /** Chooses an upstream for a call, leaving out those tried. */
  choose: (
    call: RoutedCall,
    tried: ReadonlySet<string>,
  ) => Upstream | undefined;
  /** Whether there is an upstream left for a call. */
  canChoose: (call: RoutedCall, tried: ReadonlySet<string>) => boolean;
  /** Address of the engine from which another should fetch what it lacks of a call's prompt. */
  findFetchSource: (call: RoutedCall, target: Upstream) => string | undefined;
  /** Requests on an upstream from all hosts, as far as is known. */
  getLoad: (upstream: Upstream) => number;
  /** Takes a retry from the budget of a service; returns whether there was one. */
  spendRetry: (service: string) => boolean;
  /** Told how an attempt ended, as far as the upstream's health goes. */
  noteHealth: (upstream: Upstream, sign: HealthSign) => void;
  /** Told that an upstream's address belongs to another now. */
  noteMoved: (upstream: Upstream) => void;
  /** Told when the run is over. */
  onEnd: (run: CallRun, outcome: CallOutcome) => void;
}

/** How a run ended. */
export interface CallOutcome {
  result: "answered" | "refused" | "broken_off" | "caller_gone";
  detail: string;
  durationMs: number;
  attempts: number;
}

/** One request on its way: attempts at upstreams until one gives the answer, or time or retries are used up. */
export class CallRun {
  private readonly tried = new Set<string>();
  private attempt: Attempt | undefined;
  /** Attempts that may have run the request. */
  private ranAttempts = 0;
  private unrunAttempts = 0;
  private isOver = false;
  private timer: NodeJS.Timeout | undefined;
  private silence: SilenceWatch | undefined;
  private timeoutMs: number;
  private head: { status: number; answer: AnswerHeaders } | undefined;
  private body: Buffer[] = [];
  private splitter: EventSplitter | undefined;
  private lastEventId: string | undefined;
  private eventsGiven = 0;

  private constructor(
    /** The request. */
    readonly call: RoutedCall,
    private readonly answer: CallerAnswer,
    private readonly context: CallRunContext,
  ) {
    this.timeoutMs = call.route.timeoutMs;
    this.lastEventId = call.headers.lastEventId;
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
    run.armTimer();
    run.next("first");
    return run;
  }

  /** Takes over a changed route; a shorter time-out holds for requests under way.
   * @param route The route as it is now; undefined where it is gone. */
  applyRoute(route: Route | undefined): void {
    if (this.isOver || !route || route.timeoutMs === this.timeoutMs) return;
    this.timeoutMs = route.timeoutMs;
    this.armTimer();
  }

  /** Ends the run, for the caller is gone. */
  abandon(): void {
    this.finish("caller_gone", "the caller closed its connection");
  }

  private get endsAt(): number {
    const { receivedAt, callerEndsAt } = this.call;
    return Math.min(callerEndsAt, receivedAt + this.timeoutMs);
  }

  private armTimer(): void {
    clearTimeout(this.timer);
    const remainingMs = Math.max(0, this.endsAt - performance.now());
    this.timer = setTimeout(() => this.expire(), remainingMs);
  }

  private expire(): void {
    const durationMs = performance.now() - this.call.receivedAt;
    const detail = `no answer within ${Math.round(durationMs)} ms`;
    this.refuse(this.mayHaveRun ? "timed_out" : "overloaded", detail);
  }

  /** Whether the request may have run: an attempt failed after it was sent, or one is under way. */
  private get mayHaveRun(): boolean {
    return this.ranAttempts > 0 || (this.attempt?.wasSent ?? false);
  }

  /** Sends the request to the next upstream, or refuses it where there is none. */
  private next(reason: string): void {
    const { call, context } = this;
    const upstream = context.choose(call, this.tried);
    if (!upstream) return this.giveUp(`no upstream left after ${reason}`);
    this.tried.add(upstream.id);
    this.head = undefined;
    this.body = [];
    this.splitter = undefined;
    const remainingMs = this.endsAt - performance.now();
    if (remainingMs < LEAST_REMAINING_MS) return this.giveUp("no time left");
    this.silence?.close();
    this.silence = SilenceWatch.create(
      upstream,
      call.route,
      (silence) => this.takeSilence(upstream, silence),
    );
    const fetchFrom = context.findFetchSource(call, upstream);
    this.logSend(upstream, reason, remainingMs, fetchFrom);
    this.attempt = Attempt.create(
      upstream,
      this.buildRequest(upstream, remainingMs, fetchFrom),
      context.codec,
      {
        onHead: (status, answer) => this.takeHead(status, answer),
        onBytes: (bytes) => this.takeBytes(bytes),
        onEnd: () => this.takeEnd(),
        onFailure: (failure, detail) => this.takeFailure(failure, detail),
      },
    );
  }

  private buildRequest(
    upstream: Upstream,
    remainingMs: number,
    fetchFrom: string | undefined,
  ) {
    const { call, context } = this;
    const headers = context.codec.writeUpstream(call.headers, {
      upstreamId: upstream.id,
      remainingMs,
      customer: call.customer,
      urgency: call.headers.prompt ? call.urgency : undefined,
      lastEventId: this.lastEventId,
      fetchFrom,
    });
    const { method, path, body, requestId } = call;
    return { method, path, body, requestId, headers };
  }

  private logSend(
    upstream: Upstream,
    reason: string,
    remainingMs: number,
    fetchFrom: string | undefined,
  ): void {
    this.context.logger.info({
      request: this.call.requestId,
      upstream: upstream.id,
      reason,
      remainingMs: Math.round(remainingMs),
      load: this.context.getLoad(upstream),
      failureRate: Number(upstream.health.rate.toFixed(2)),
      fetchFrom,
    }, "request_sent");
  }

  private takeHead(status: number, answer: AnswerHeaders): void {
    const upstream = this.attempt!.upstream;
    if (answer.isNotRun) return this.takeDecline(upstream, answer, status);
    const isSuccess = status >= 200 && status < 300;
    const isOwn = answer.requestId === this.call.requestId;
    if (isSuccess && !(answer.hasProof && isOwn)) {
      this.attempt!.abandon();
      return this.takeFailure("broken", "a success without proof or id");
    }
    this.head = { status, answer };
    if (isSuccess && answer.isEventStream) {
      this.splitter = EventSplitter.create();
    }
  }

  private takeDecline(
    upstream: Upstream,
    answer: AnswerHeaders,
    status: number,
  ): void {
    this.attempt!.abandon();
    this.attempt = undefined;
    this.unrunAttempts += 1;
    if (answer.isOtherUpstream) this.context.noteMoved(upstream);
    else upstream.fullUntil = performance.now() + FULL_FOR_MS;
    this.logTrouble(upstream, `declined with ${status}`);
    this.retryUnrun(`declined with ${status}`);
  }

  /** A silent upstream counts as unsound; where it is likely stuck a request that may run again goes elsewhere, any
   * other waits on. */
  private takeSilence(upstream: Upstream, silence: Silence): void {
    if (this.isOver) return;
    const detail = `silent for ${Math.round(silence.silentMs)} ms`;
    this.logTrouble(upstream, detail);
    this.context.noteHealth(upstream, "silent");
    if (!silence.isLikelyStuck || !mayRunAgain(this.call)) return;
    if (this.ranAttempts + 1 >= this.call.route.maxAttempts) return;
    if (!this.context.canChoose(this.call, this.tried)) return;
    if (!this.context.spendRetry(this.call.service)) return;
    this.attempt?.abandon();
    this.ranAttempts += 1;
    this.next(detail);
  }

  private takeBytes(bytes: Buffer): void {
    this.silence?.noteBytes();
    if (!this.splitter) {
      this.body.push(bytes);
      return;
    }
    for (const event of this.splitter.push(bytes)) {
      if (event.id !== undefined) this.lastEventId = event.id;
      this.giveEvent(event.bytes);
    }
  }

  private giveEvent(bytes: Buffer): void {
    const { status, answer } = this.head!;
    if (!this.answer.hasStarted) {
      this.answer.beginStream(status, withoutLength(answer.passedBack));
    }
    this.eventsGiven += 1;
    const attempt = this.attempt;
    const hasRoom = this.answer.write(bytes, () => attempt?.resume());
    if (!hasRoom) attempt?.pause();
  }

  private takeEnd(): void {
    const upstream = this.attempt!.upstream;
    if (!this.head) return this.takeFailure("broken", "an end without a head");
    if (this.splitter) return this.takeStreamEnd(upstream);
    const { status, answer } = this.head;
    if (status >= 500) {
      this.context.noteHealth(upstream, "error_answer");
      this.ranAttempts += 1;
      if (this.mayRetry()) return this.next(`answered with ${status}`);
    } else this.noteGood(upstream);
    this.answer.giveWhole(status, answer.passedBack, Buffer.concat(this.body));
    this.finish("answered", `status ${status}`);
  }

  private takeStreamEnd(upstream: Upstream): void {
    if (this.splitter!.hasRest) {
      return this.takeFailure("broken", "the stream ended within an event");
    }
    const { status, answer } = this.head!;
    if (!this.answer.hasStarted) {
      this.answer.beginStream(status, withoutLength(answer.passedBack));
    }
    this.noteGood(upstream);
    this.answer.endStream();
    this.finish("answered", `${this.eventsGiven} events`);
  }

  private noteGood(upstream: Upstream): void {
    upstream.latency.add(performance.now() - this.call.receivedAt);
    this.context.noteHealth(upstream, "good");
  }

  private takeFailure(failure: AttemptFailure, detail: string): void {
    const upstream = this.attempt!.upstream;
    this.logTrouble(upstream, detail);
    if (failure === "not_sent") {
      this.unrunAttempts += 1;
      this.context.noteHealth(upstream, "unreachable");
      return this.retryUnrun(detail);
    }
    this.context.noteHealth(upstream, "broken");
    this.ranAttempts += 1;
    if (this.mayRetry()) return this.next(detail);
    this.refuse("upstream_failed", detail);
  }

  /** Goes on after an attempt that certainly did not run. */
  private retryUnrun(detail: string): void {
    const mayGoOn = this.unrunAttempts < MAX_UNRUN_ATTEMPTS &&
      this.context.spendRetry(this.call.service);
    if (mayGoOn) return this.next(detail);
    this.giveUp(detail);
  }

  /** Whether the request may be sent again after it may have run. */
  private mayRetry(): boolean {
    return mayRunAgain(this.call) &&
      this.ranAttempts < this.call.route.maxAttempts &&
      this.context.spendRetry(this.call.service);
  }

  /** Refuses: as not run where that is certain. */
  private giveUp(detail: string): void {
    this.refuse(
      this.ranAttempts > 0 ? "upstream_failed" : "overloaded",
      detail,
    );
  }

  private refuse(kind: ErrorKind, detail: string): void {
    if (this.isOver) return;
    this.answer.refuse(Failure.create(kind, detail));
    this.finish(
      this.eventsGiven > 0 ? "broken_off" : "refused",
      `${kind}: ${detail}`,
    );
  }

  private finish(result: CallOutcome["result"], detail: string): void {
    if (this.isOver) return;
    this.isOver = true;
    clearTimeout(this.timer);
    this.silence?.close();
    this.attempt?.abandon();
    const durationMs = performance.now() - this.call.receivedAt;
    const attempts = this.tried.size;
    this.context.onEnd(this, { result, detail, durationMs, attempts });
  }

  private logTrouble(upstream: Upstream, detail: string): void {
    this.context.logger.info({
      request: this.call.requestId,
      upstream: upstream.id,
      detail,
      attempt: this.tried.size,
      failureRate: Number(upstream.health.rate.toFixed(2)),
    }, "attempt_failed");
  }
}

/** Headers without a length, which a stream that may go on elsewhere can't promise. */
function withoutLength(headers: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === "content-length") continue;
    kept.push(headers[index]!, headers[index + 1]!);
  }
  return kept;
}
