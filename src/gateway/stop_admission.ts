import {
  decideAtStop,
  getUsableMs,
  type StopDecision,
} from "../admission/decide_at_stop.ts";
import { DurationDistribution } from "../admission/duration_distribution.ts";
import { readClock } from "../clock/clock.ts";
import { Failure } from "../errors/failure.ts";
import type { AdmittedCall } from "../forward/admit_call.ts";
import type { CallProgress, StopEnd } from "../forward/call_progress.ts";
import { mayRunAgain, type RoutedCall } from "../forward/routed_call.ts";
import type { Logger } from "../logging/logger.ts";
import { CALLERS_LEAVE_WITHIN_MS, type GracefulStop } from "./graceful_stop.ts";
import type { StopMetrics } from "./stop_metrics.ts";

/** Dependencies of a {@link StopAdmission}. */
export interface StopAdmissionOptions {
  logger: Logger;
  metrics: StopMetrics;
  stop: GracefulStop;
  /** Whether another host takes requests. */
  hasOtherHost: () => boolean;
  /** Returns the time after which refused callers may retry, in milliseconds. */
  getRetryAfterMs: () => number;
  /** Returns the length of the pauses between events of a service's streams relative to their usual length; undefined if
   * it has no streams. */
  getPaceRatio: (service: string) => number | undefined;
}

/** What was decided on a call that arrived during a stop. */
interface JudgedCall {
  decision: StopDecision;
  /** Time since the start of the stop, in milliseconds. */
  elapsedMs: number;
  deadlineMs: number;
  /** Time that was left for calls, in milliseconds. */
  usableMs: number;
  endProbability: number | undefined;
  paceRatio: number | undefined;
}

/** Decides which calls a stopping host accepts, and records what becomes of those that outlast its stop. */
export class StopAdmission {
  private readonly durations = DurationDistribution.create();
  private readonly judged = new WeakMap<RoutedCall["headers"], JudgedCall>();

  private constructor(private readonly options: StopAdmissionOptions) {}

  /** Creates an admission that knows no durations of calls.
   * @param options Its dependencies. */
  static create(options: StopAdmissionOptions): StopAdmission {
    return new StopAdmission(options);
  }

  /** Records an answered call, whether or not the host is stopping.
   * @param call The call.
   * @param durationMs Time from its arrival to the end of its response, in milliseconds.
   * @param pauses Number of pauses between the events of its stream, and their mean length in milliseconds. */
  recordAnswer(
    { route, headers }: RoutedCall,
    durationMs: number,
    pauses: { pauses: number; pauseMs: number | undefined },
  ): void {
    const lengthHint = headers.prompt?.lengthHint;
    this.durations.record(route.name, { durationMs, lengthHint, ...pauses });
  }

  /** Returns why a call is refused; undefined if it is accepted. Called when its head has arrived, and again before it is
   * sent.
   * @param call The call, which has not been sent to any upstream. */
  findRefusal(call: AdmittedCall): Failure | undefined {
    if (!this.options.stop.hasStarted) return undefined;
    const judged = this.judge(call);
    this.record(call, judged);
    return judged.decision === "refused"
      ? this.createRefusal(judged)
      : undefined;
  }

  /** Records a call that the end of the stop has ended.
   * @param call The call.
   * @param progress Its progress.
   * @param end How it was ended. */
  recordUnfinished(
    call: RoutedCall,
    progress: CallProgress,
    end: StopEnd,
  ): void {
    this.options.metrics.recordUnfinished(end);
    const judged = this.judged.get(call.headers);
    this.options.logger.warn({
      request: call.requestId,
      route: call.route.name,
      service: call.service,
      end,
      mayRunAgain: mayRunAgain(call),
      ...progress,
      hadMs: Math.round(progress.hadMs),
      remainingMs: Math.round(progress.remainingMs),
      ...judged ? formatJudged(judged) : { decision: "before_stop" },
    }, "call_unfinished");
  }

  private record(call: AdmittedCall, judged: JudgedCall): void {
    const previous = this.judged.get(call.headers);
    this.judged.set(call.headers, judged);
    if (judged.decision === previous?.decision) return;
    this.options.metrics.recordDecision(judged.decision);
    this.options.logger.info({
      request: call.requestId,
      route: call.route.name,
      ...formatJudged(judged),
    }, "stop_decided");
  }

  private judge(call: AdmittedCall): JudgedCall {
    const { stop, hasOtherHost, getPaceRatio } = this.options;
    const { route, headers, receivedAt, callerDeadlineAt, service } = call;
    const now = readClock();
    const elapsedMs = stop.getElapsedMs(now);
    const { limitMs } = stop;
    const deadlineAt = Math.min(callerDeadlineAt, receivedAt + route.timeoutMs);
    const deadlineMs = Math.max(0, deadlineAt - now);
    const usableMs = getUsableMs(elapsedMs, limitMs);
    const paceRatio = route.kind === "stream"
      ? getPaceRatio(service)
      : undefined;
    const endProbability = this.durations.getEndProbability(
      route.name,
      { deadlineMs, paceRatio, lengthHint: headers.prompt?.lengthHint },
      usableMs,
    );
    const decision = decideAtStop({
      elapsedMs,
      limitMs,
      callersLeaveWithinMs: CALLERS_LEAVE_WITHIN_MS,
      deadlineMs,
      endProbability,
      mayRunAgain: mayRunAgain(call),
      hasOtherHost: hasOtherHost(),
    });
    return {
      decision,
      elapsedMs,
      deadlineMs,
      usableMs,
      endProbability,
      paceRatio,
    };
  }

  private createRefusal(
    { usableMs, deadlineMs, endProbability }: JudgedCall,
  ): Failure {
    const probability = endProbability?.toFixed(2) ?? "unknown";
    return Failure.create(
      "draining",
      `ends within ${Math.round(deadlineMs)} ms, ${
        Math.round(usableMs)
      } ms are left, probability ${probability}`,
      this.options.getRetryAfterMs(),
    );
  }
}

function formatJudged(judged: JudgedCall) {
  return {
    decision: judged.decision,
    afterStopMs: Math.round(judged.elapsedMs),
    deadlineMs: Math.round(judged.deadlineMs),
    usableMs: Math.round(judged.usableMs),
    endProbability: judged.endProbability?.toFixed(3),
    paceRatio: judged.paceRatio?.toFixed(2),
  };
}
