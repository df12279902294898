import { readClock } from "../clock/clock.ts";
import { formatAge } from "../logging/format_age.ts";
import type { Logger } from "../logging/logger.ts";
import { formatFingerprint } from "../hashing/request_fingerprint.ts";
import type { JudgedRepeat } from "../scheduling/judged_repeat.ts";
import type { AvailabilityNotice } from "../upstreams/availability_notice.ts";
import type { LoadSnapshot } from "../upstreams/load_snapshot.ts";
import type { UpstreamChoice } from "../upstreams/choose_upstream.ts";
import type { AttemptPlan } from "./attempt_sender.ts";
import type { RoutedCall } from "./routed_call.ts";
import type { RetryDecision } from "../upstreams/retry_decision.ts";
import type { Upstream } from "../upstreams/upstream.ts";

/** The logged data of one attempt when it is sent. */
export interface LoggedSend extends AttemptPlan {
  /** The known load of the upstream. */
  load: LoadSnapshot;
  /** Age of the publication by which the upstream was chosen, in milliseconds. */
  publicationAgeMs: number;
  /** What the upstream is assumed to have cached of the prompt; undefined if the request shares no prompt. */
  prompt: PromptPlacement | undefined;
}

/** What an upstream is assumed to have cached of a prompt that is sent to it. */
export interface PromptPlacement {
  /** Hash of the last shared part. */
  part: number;
  /** Number of tokens in the shared parts. */
  sharedTokens: number;
  /** Number of those tokens that the upstream is assumed to have cached. */
  keptTokens: number;
  /** Address of the engine from which the upstream fetches the missing parts. */
  fetchFrom: string | undefined;
}

/** Progress of an attempt when it failed, was declined or became silent. */
export interface AttemptProgress {
  /** Number of the attempt, starting at 1. */
  attempt: number;
  /** Number of events forwarded to the caller so far, by all attempts. */
  events: number;
}

/** An attempt of a call. */
export interface NumberedAttempt {
  upstream: Upstream;
  /** Number of the attempt, starting at 1. */
  number: number;
}

/** Writes the log lines for the attempts of one call. */
export class CallLog {
  private constructor(
    private readonly logger: Logger,
    private readonly call: RoutedCall,
  ) {}

  /** Creates the log of a call.
   * @param logger Receives the log lines.
   * @param call The call. */
  static create(logger: Logger, call: RoutedCall): CallLog {
    return new CallLog(logger, call);
  }

  /** Logs that the request is sent to an upstream, and what the choice was based on.
   * @param send The attempt. */
  logSent(send: LoggedSend): void {
    const { choice, reason, remainingMs, lastEventId, load, prompt } = send;
    const publicationAgeMs = Math.round(send.publicationAgeMs);
    const { upstream, basis, bound } = choice;
    const { availability } = upstream;
    this.logger.info({
      request: this.call.requestId,
      fingerprint: formatFingerprint(this.call.fingerprint),
      bodyBytes: this.call.body?.length ?? 0,
      upstream: upstream.id,
      softwareVersion: upstream.published.softwareVersion,
      reason,
      resumesAfter: lastEventId,
      resumesRequest: this.call.headers.resumedRequestId,
      remainingMs: Math.round(remainingMs),
      hall: upstream.published.hall,
      path: upstream.path.state,
      publicationAgeMs,
      basis,
      ...formatEstimate(choice),
      bound: roundTo(bound, 1),
      ownLoad: load.own,
      foreignLoad: load.foreign,
      countedHosts: load.countedHosts,
      countAgeMs: Math.round(load.countAgeMs),
      oldestCountAgeMs: Math.round(load.oldestCountAgeMs),
      reportedLoad: load.reported,
      reportAgeMs: load.reportAgeMs && Math.round(load.reportAgeMs),
      backoffMs: Math.round(availability.getBackoffMs(readClock())),
      saysLeaving: availability.isLeaving,
      failureRate: roundFailureRate(upstream),
      parts: this.call.sharedParts.map(({ name }) => name).join(","),
      ...prompt,
    }, "request_sent");
  }

  /** Logs that other hosts were asked for a slot of an upstream.
   * @param isGranted Whether one was lent.
   * @param waitedMs Time until then, in milliseconds. */
  logSlotRequested(isGranted: boolean, waitedMs: number): void {
    this.logger.info({
      request: this.call.requestId,
      service: this.call.service,
      isGranted,
      waitedMs: Math.round(waitedMs),
    }, "slot_requested");
  }

  /** Logs whether another attempt is allowed: by the room of the service, and then by the retry budget.
   * @param decision The decision; its basis if the retry budget was asked.
   * @param progress Progress of the attempt before.
   * @param repeat How the room was judged; undefined if it does not matter. */
  logRetryDecision(
    decision: RetryDecision | Pick<RetryDecision, "isAllowed">,
    progress: AttemptProgress,
    repeat?: JudgedRepeat,
  ): void {
    this.logger.info({
      request: this.call.requestId,
      service: this.call.service,
      ...progress,
      ...repeat,
      ...decision,
      ..."allowed" in decision && {
        allowed: roundTo(decision.allowed, 2),
        coverage: roundTo(decision.coverage, 2),
      },
    }, "retry_decided");
  }

  /** Logs that an upstream declined the request, with the backoff that it asked for.
   * @param upstream The upstream.
   * @param status Status code of its response.
   * @param availability What the response says about further requests.
   * @param progress Progress of the attempt. */
  logDeclined(
    upstream: Upstream,
    status: number,
    availability: AvailabilityNotice,
    progress: AttemptProgress,
  ): void {
    this.logger.info({
      request: this.call.requestId,
      upstream: upstream.id,
      status,
      askedBackoffMs: availability.backoffMs,
      saysLeaving: availability.isLeaving,
      ...progress,
    }, "attempt_declined");
  }

  /** Logs that the response of one of several outstanding attempts is passed on.
   * @param chosen The attempt.
   * @param others The other attempts, which are abandoned. */
  logChosen(
    { upstream, number }: NumberedAttempt,
    others: readonly NumberedAttempt[],
  ): void {
    this.logger.info({
      request: this.call.requestId,
      upstream: upstream.id,
      attempt: number,
      abandoned: formatUpstreams(others),
    }, "response_chosen");
  }

  /** Logs that no other attempt follows, and that the outstanding ones are awaited.
   * @param attempts The outstanding attempts.
   * @param detail Why no other attempt follows. */
  logAwaited(attempts: readonly NumberedAttempt[], detail: string): void {
    this.logger.info({
      request: this.call.requestId,
      detail,
      awaited: formatUpstreams(attempts),
    }, "attempts_awaited");
  }

  /** Logs that an attempt failed or is silent, and when this host and others last heard from the upstream.
   * @param upstream Upstream of the attempt.
   * @param detail Description of the failure.
   * @param progress Progress of the attempt. */
  logFailed(
    upstream: Upstream,
    detail: string,
    progress: AttemptProgress,
  ): void {
    this.logger.info({
      request: this.call.requestId,
      upstream: upstream.id,
      detail,
      ...progress,
      failureRate: roundFailureRate(upstream),
      heardAgoMs: formatAge(upstream.lastReceivedAt),
      heardElsewhereAgoMs: formatAge(upstream.heardElsewhereAt),
    }, "attempt_failed");
  }
}

function formatUpstreams(attempts: readonly NumberedAttempt[]): string {
  return attempts.map(({ upstream }) => upstream.id).join(",");
}

/** Returns the expected times of a choice by time, and the slowdown that they include; nothing if it is by count. */
function formatEstimate({ estimate, estimateBasis }: UpstreamChoice) {
  if (!estimate) return {};
  const report = estimateBasis?.observation.report;
  return {
    waitMs: roundTo(estimate.waitMs, 1),
    expectedMs: roundTo(estimate.firstEventMs, 1),
    errorMs: roundTo(estimate.errorMs, 1),
    slowdown: report?.slowdown,
    slowdownAgeMs: report && Math.round(report.ageMs),
  };
}

function roundFailureRate(upstream: Upstream): number {
  return roundTo(upstream.health.rate, 2);
}

function roundTo(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}
