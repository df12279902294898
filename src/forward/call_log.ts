import type { Logger } from "../logging/logger.ts";
import type { Upstream } from "../upstreams/upstream.ts";

/** One sending of a request, as it is logged. */
export interface LoggedSend {
  upstream: Upstream;
  /** Why the request is sent: `first`, or how the attempt before ended. */
  reason: string;
  remainingMs: number;
  /** Requests on the upstream from all hosts, as far as is known. */
  load: number;
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

/** Writes the log lines of one request's attempts. */
export class CallLog {
  private constructor(
    private readonly logger: Logger,
    private readonly requestId: string,
  ) {}

  /** Creates the log of a request.
   * @param logger Where the lines are written.
   * @param requestId Id of the request. */
  static create(logger: Logger, requestId: string): CallLog {
    return new CallLog(logger, requestId);
  }

  /** Writes that the request is sent to an upstream, with what decided it.
   * @param send The sending. */
  noteSent(send: LoggedSend): void {
    const { upstream, reason, remainingMs, load, prompt } = send;
    this.logger.info({
      request: this.requestId,
      upstream: upstream.id,
      reason,
      remainingMs: Math.round(remainingMs),
      load,
      failureRate: roundRate(upstream),
      ...prompt,
    }, "request_sent");
  }

  /** Writes that an attempt failed, was declined or is silent.
   * @param upstream Upstream of the attempt.
   * @param detail What happened.
   * @param attempt Number of the attempt, from 1. */
  noteTrouble(upstream: Upstream, detail: string, attempt: number): void {
    this.logger.info({
      request: this.requestId,
      upstream: upstream.id,
      detail,
      attempt,
      failureRate: roundRate(upstream),
    }, "attempt_failed");
  }
}

function roundRate(upstream: Upstream): number {
  return Number(upstream.health.rate.toFixed(2));
}
