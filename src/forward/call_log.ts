import { readClock } from "../clock/clock.ts";
import type { Logger } from "../logging/logger.ts";
import { describeFingerprint } from "../hashing/request_fingerprint.ts";
import type { AvailabilityNotice } from "../upstreams/availability_notice.ts";
import type { UpstreamChoice } from "../upstreams/choose_upstream.ts";
import type { LoadSnapshot } from "../upstreams/load_snapshot.ts";
import type { RoutedCall } from "./routed_call.ts";
import type { Upstream } from "../upstreams/upstream.ts";

/** One sending of a request, as it is logged. */
export interface LoggedSend {
  choice: UpstreamChoice;
  /** Why the request is sent: `first`, or how the attempt before ended. */
  reason: string;
  remainingMs: number;
  /** What was known of the requests on the upstream. */
  load: LoadSnapshot;
  /** What the upstream is taken to keep of the prompt; undefined where the request shares none. */
  prompt: PromptPlace | undefined;
}

/** What an upstream is taken to keep of a prompt when it is sent there. */
export interface PromptPlace {
  /** Short name of the deepest part that requests share. */
  part: number;
  /** Tokens of the shared parts, and of those the ones that the upstream is taken to keep. */
  sharedTokens: number;
  keptTokens: number;
  /** Address of the engine from which the upstream fetches what it lacks. */
  fetchFrom: string | undefined;
}

/** How far an attempt had come when it met trouble. */
export interface AttemptProgress {
  /** Number of the attempt, from 1. */
  attempt: number;
  /** Events of the answer that the caller had by then, from all attempts. */
  events: number;
}

/** Writes the log lines of one request's attempts. */
export class CallLog {
  private constructor(
    private readonly logger: Logger,
    private readonly call: RoutedCall,
  ) {}

  /** Creates the log of a request.
   * @param logger Where the lines are written.
   * @param call The request. */
  static create(logger: Logger, call: RoutedCall): CallLog {
    return new CallLog(logger, call);
  }

  /** Writes that the request is sent to an upstream, with what decided it.
   * @param send The sending. */
  noteSent(send: LoggedSend): void {
    const { choice, reason, remainingMs, load, prompt } = send;
    const { upstream, basis, bound } = choice;
    const { availability } = upstream;
    this.logger.info({
      request: this.call.requestId,
      fingerprint: describeFingerprint(this.call.fingerprint),
      bodyBytes: this.call.body?.length ?? 0,
      upstream: upstream.id,
      reason,
      remainingMs: Math.round(remainingMs),
      hall: upstream.published.hall,
      basis,
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
      failureRate: roundRate(upstream),
      ...prompt,
    }, "request_sent");
  }

  /** Writes that an upstream turned the request away, with what it asked for.
   * @param upstream The upstream.
   * @param status Status code of its answer.
   * @param availability What the answer says of further requests.
   * @param progress How far the attempt had come. */
  noteDeclined(
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

  /** Writes that an attempt failed or is silent.
   * @param upstream Upstream of the attempt.
   * @param detail What happened.
   * @param progress How far it had come. */
  noteTrouble(
    upstream: Upstream,
    detail: string,
    progress: AttemptProgress,
  ): void {
    this.logger.info({
      request: this.call.requestId,
      upstream: upstream.id,
      detail,
      ...progress,
      failureRate: roundRate(upstream),
    }, "attempt_failed");
  }
}

function roundRate(upstream: Upstream): number {
  return roundTo(upstream.health.rate, 2);
}

function roundTo(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}
