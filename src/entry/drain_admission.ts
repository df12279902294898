import { setMaxListeners } from "node:events";
import {
  decideAtStop,
  getUsableMs,
  type StopDecision,
} from "../admission/decide_at_stop.ts";
import { DurationDistribution } from "../admission/duration_distribution.ts";
import { readClock } from "../clock/clock.ts";
import { Failure } from "../errors/failure.ts";
import type { Logger } from "../logging/logger.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { RoutedRequest } from "./routed_request.ts";

/** Factor by which requests are expected to become longer within a stop, because other routers send theirs to the same
 * upstreams. */
const EXPECTED_GROWTH = 1.3;
/** Time that a router needs to start again, in milliseconds. */
const RESTART_MS = 1_000;

/** Dependencies of a {@link DrainAdmission}. */
export interface DrainAdmissionOptions {
  logger: Logger;
  metrics: Pick<Metrics, "count">;
  /** Time that a stop may take, in milliseconds. */
  limitMs: number;
  /** Whether another router takes requests. */
  hasOtherRouter: () => boolean;
  /** Time after the start of a stop within which callers stop using the router's address, in milliseconds. */
  callersLeaveWithinMs: number;
  /** Returns the length of the pauses between events of the streams of a request's model relative to their usual length;
   * undefined if none is known. */
  getPaceRatio: (request: RoutedRequest) => number | undefined;
}

/** The pauses between the events of a finished stream. */
export interface StreamPauses {
  /** Number of pauses; 0 if it was no stream. */
  pauses: number;
  /** Mean length of the pauses, in milliseconds; undefined if there were none. */
  meanPauseMs: number | undefined;
}

/** A request that the end of a stop has ended. */
export interface CutRequest {
  requestId: string;
  /** Monotonic milliseconds at which it arrived. */
  receivedAt: number;
}

/** What had become of a request when the stop ended it. */
export interface CutProgress {
  /** How it was ended: as not run, with an error, or within its response. */
  end: "refused" | "failed" | "cut";
  /** The last upstream that it was offered to; undefined if there was none. */
  upstream: string | undefined;
  /** Number of events that were forwarded to the caller. */
  events: number;
}

/** What was decided on a request that arrived during a stop. */
interface JudgedRequest {
  decision: StopDecision;
  /** Time since the start of the stop, in milliseconds. */
  elapsedMs: number;
  deadlineMs: number;
  /** Time that was left for requests, in milliseconds. */
  usableMs: number;
  endProbability: number | undefined;
}

/** Decides which requests a stopping router accepts, and tells those that outlast the stop that it has ended. */
export class DrainAdmission {
  private readonly durations = DurationDistribution.create();
  private readonly judged = new Map<string, JudgedRequest>();
  private readonly ended = new AbortController();
  private startedAt: number | undefined;

  private constructor(private readonly options: DrainAdmissionOptions) {
    setMaxListeners(0, this.ended.signal);
  }

  /** Creates an admission of a router that is not stopping.
   * @param options Its dependencies. */
  static create(options: DrainAdmissionOptions): DrainAdmission {
    return new DrainAdmission(options);
  }

  /** Records that the router stops.
   * @param startedAt Monotonic milliseconds at which the stop was asked for. */
  start(startedAt: number): void {
    this.startedAt ??= startedAt;
  }

  /** Ends the stop: requests that are still open are ended. */
  end(): void {
    this.ended.abort();
  }

  /** Aborted when the stop ends. */
  get endSignal(): AbortSignal {
    return this.ended.signal;
  }

  /** Time that is left of the stop for requests, in milliseconds; infinite before the stop. */
  get usableMs(): number {
    return this.startedAt === undefined
      ? Infinity
      : getUsableMs(this.getElapsedMs(), this.options.limitMs);
  }

  /** Records an answered request, whether or not the router is stopping.
   * @param request The request.
   * @param durationMs Time until the end of its response, in milliseconds.
   * @param stream The pauses of its stream. */
  recordAnswer(
    request: RoutedRequest,
    durationMs: number,
    { pauses, meanPauseMs: pauseMs }: StreamPauses,
  ): void {
    const { lengthHint } = request;
    this.durations.record(getKind(request), {
      durationMs,
      lengthHint,
      pauses,
      pauseMs,
    });
  }

  /** Throws if the router stops and a request is not to be accepted. Called before each dispatch.
   * @param request The request, which has not been sent to any upstream. */
  assertFits(request: RoutedRequest): void {
    if (this.startedAt === undefined) return;
    const judged = this.judge(request);
    this.recordDecision(request, judged);
    if (judged.decision === "refused") throw this.createRefusal(judged);
  }

  /** Creates the failure of a request that the end of the stop ends before it is run. */
  createEndFailure(): Failure {
    return Failure.create(
      "draining",
      "the router has stopped",
      this.retryAfterMs,
    );
  }

  /** Time after which refused callers may retry, in milliseconds: at once if another router takes requests, otherwise
   * when this one is back. */
  get retryAfterMs(): number {
    return this.options.hasOtherRouter() ? 0 : this.usableMs + RESTART_MS;
  }

  /** Waits for something that precedes the dispatch of a request; throws when the stop ends.
   * @param request The request.
   * @param waited What is waited for.
   * @param failure Creates the failure of the request. */
  async waitUntilEnd<T>(
    request: CutRequest,
    waited: Promise<T>,
    failure: () => Failure = () => this.createEndFailure(),
  ): Promise<T> {
    const { signal } = this.ended;
    return await new Promise<T>((resolve, reject) => {
      const handleEnd = () => {
        this.recordCut(request, {
          end: "refused",
          upstream: undefined,
          events: 0,
        });
        reject(failure());
      };
      if (signal.aborted) handleEnd();
      else signal.addEventListener("abort", handleEnd, { once: true });
      waited.then(resolve, reject).finally(() =>
        signal.removeEventListener("abort", handleEnd)
      );
    });
  }

  /** Records a request that the end of the stop has ended.
   * @param request The request.
   * @param progress What had become of it. */
  recordCut(request: CutRequest, progress: CutProgress): void {
    const { logger, metrics } = this.options;
    metrics.count("request_cut", { end: progress.end });
    const judged = this.judged.get(request.requestId);
    logger.warn({
      request: request.requestId,
      ...progress,
      hadMs: Math.round(readClock() - request.receivedAt),
      ...judged ? formatJudged(judged) : { decision: "before_stop" },
    }, "request_cut");
  }

  /** Forgets a request that has been answered.
   * @param request The request. */
  forget(request: RoutedRequest): void {
    this.judged.delete(request.requestId);
  }

  private judge(request: RoutedRequest): JudgedRequest {
    const { limitMs, callersLeaveWithinMs } = this.options;
    const { hasOtherRouter, getPaceRatio } = this.options;
    const kind = getKind(request);
    const elapsedMs = this.getElapsedMs();
    const usableMs = getUsableMs(elapsedMs, limitMs);
    const deadlineMs = Math.max(0, request.deadlineAt - readClock());
    const endProbability = this.durations.getEndProbability(kind, {
      deadlineMs,
      lengthHint: request.lengthHint,
      paceRatio: getPaceRatio(request),
    }, usableMs / EXPECTED_GROWTH);
    const decision = decideAtStop({
      elapsedMs,
      limitMs,
      callersLeaveWithinMs,
      deadlineMs,
      endProbability,
      mayRunAgain: request.repeatable && !request.isStreamed,
      hasOtherHost: hasOtherRouter(),
    });
    return { decision, elapsedMs, deadlineMs, usableMs, endProbability };
  }

  private recordDecision(request: RoutedRequest, judged: JudgedRequest): void {
    const previous = this.judged.get(request.requestId);
    if (judged.decision === "refused") this.forget(request);
    else this.judged.set(request.requestId, judged);
    if (judged.decision === previous?.decision) return;
    const { decision } = judged;
    this.options.metrics.count("stop_decided", { decision });
    this.options.logger.info({
      request: request.requestId,
      kind: getKind(request),
      ...formatJudged(judged),
    }, "stop_decided");
  }

  private createRefusal(
    { usableMs, deadlineMs, endProbability }: JudgedRequest,
  ): Failure {
    const times = `ends within ${Math.round(deadlineMs)} ms, ${
      Math.round(usableMs)
    } ms are left`;
    return Failure.create(
      "draining",
      `${times}, probability ${endProbability?.toFixed(2) ?? "unknown"}`,
      this.retryAfterMs,
    );
  }

  /** Returns the time since the start of the stop, in milliseconds; infinite once it has ended. */
  private getElapsedMs(): number {
    return this.ended.signal.aborted ? Infinity : readClock() - this.startedAt!;
  }
}

function formatJudged(judged: JudgedRequest) {
  return {
    decision: judged.decision,
    afterStopMs: Math.round(judged.elapsedMs),
    deadlineMs: Math.round(judged.deadlineMs),
    usableMs: Math.round(judged.usableMs),
    endProbability: judged.endProbability?.toFixed(3),
  };
}

/** Returns the kind of a request, whose requests take similar times. */
function getKind({ customer, requirement }: RoutedRequest): string {
  const upstreams = requirement.role === "engine"
    ? requirement.model
    : requirement.service;
  return `${customer.id} ${requirement.role} ${upstreams}`;
}
