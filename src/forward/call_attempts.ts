import type { Upstream } from "../upstreams/upstream.ts";
import type { AttemptBudget } from "./attempt_budget.ts";
import type { AttemptEnd } from "./attempt_end.ts";
import type { CallAttempt } from "./call_attempt.ts";
import type { CallLog } from "./call_log.ts";
import { OutstandingAttempts } from "./outstanding_attempts.ts";
import type { ResponseRelay } from "./response_relay.ts";
import type { StreamTracker } from "./stream_tracker.ts";

/** Components of the call that makes the attempts. */
export interface CallAttemptsOptions {
  budget: AttemptBudget;
  log: CallLog;
  relay: ResponseRelay;
  stream: StreamTracker;
}

/** The attempts of a call: counts them, and abandons the others when the response of one is passed on. */
export class CallAttempts {
  private readonly outstanding = OutstandingAttempts.create<CallAttempt>();
  /** A complete error response, which the caller receives if no outstanding attempt succeeds. */
  private errorResponse: CallAttempt | undefined;
  /** A complete error response after which the request is to be sent again; the caller receives it if it is not. */
  private repeatedError: CallAttempt | undefined;

  private constructor(private readonly options: CallAttemptsOptions) {}

  /** Creates an empty set.
   * @param options Components of the call. */
  static create(options: CallAttemptsOptions): CallAttempts {
    return new CallAttempts(options);
  }

  /** The latest attempt; undefined if it has ended. */
  get latest(): CallAttempt | undefined {
    return this.outstanding.latest;
  }

  /** Whether the request may have run: an attempt failed after it was sent, or one that was sent is outstanding. */
  get mayHaveRun(): boolean {
    return this.options.budget.mayHaveRun ||
      this.outstanding.all.some(({ wasSent }) => wasSent);
  }

  /** Returns the outstanding attempt at an upstream; undefined if there is none.
   * @param upstream The upstream. */
  findAt(upstream: Upstream): CallAttempt | undefined {
    return this.outstanding.all.find((one) => one.upstream === upstream);
  }

  /** Adds the latest attempt.
   * @param attempt The attempt. */
  start(attempt: CallAttempt): void {
    this.repeatedError?.abandon();
    this.repeatedError = undefined;
    this.outstanding.start(attempt);
  }

  /** Leaves the latest attempt because it is silent; its response still counts if it arrives first. One that was not sent
   * is abandoned, so that it is not sent any more.
   * @param attempt The attempt. */
  leave(attempt: CallAttempt): void {
    if (attempt.wasSent) {
      attempt.leave();
      this.outstanding.leaveLatest();
      this.options.budget.recordRan();
    } else {
      this.drop(attempt);
      this.outstanding.end(attempt);
    }
  }

  /** Records that an attempt has forwarded events.
   * @param attempt The attempt. */
  recordForwarded(attempt: CallAttempt): void {
    if (this.latest === attempt) this.abandonOthers(attempt);
    else this.resume(attempt);
    this.options.stream.recordEvent();
  }

  /** Records the end of an attempt; returns whether another may follow it.
   * @param attempt The attempt.
   * @param end How it ended. */
  end(attempt: CallAttempt, end: AttemptEnd): boolean {
    if (end.type === "answered") {
      this.abandonOthers(attempt);
      return false;
    }
    // An earlier attempt was counted when it was left.
    const isRepeated = this.outstanding.end(attempt) &&
      this.options.budget.spendRetryAfterEnd(end);
    const mayBePassedOn = end.type === "error" && end.mayBePassedOn;
    if (mayBePassedOn && isRepeated) this.repeatedError ??= attempt;
    else if (mayBePassedOn) this.errorResponse ??= attempt;
    const isKept = attempt === this.errorResponse ||
      attempt === this.repeatedError;
    if (!isKept) attempt.abandon();
    return isRepeated;
  }

  /** Returns whether attempts are outstanding after which no other follows.
   * @param detail Why no other follows. */
  awaitOutstanding(detail: string): boolean {
    const { all } = this.outstanding;
    if (all.length === 0) return false;
    this.options.log.logAwaited(all, detail);
    return true;
  }

  /** Passes on an error response that was received; returns its status, or undefined if there is none. */
  passOnError(): number | undefined {
    const { relay } = this.options;
    const { response, isEvicted } = this.errorResponse ?? this.repeatedError ??
      {};
    if (!response || isEvicted || relay.hasStarted) return undefined;
    relay.sendComplete(response);
    return response.head?.status;
  }

  /** Abandons all attempts. */
  close(): void {
    for (const attempt of this.outstanding.clear()) attempt.abandon();
    this.discardError();
  }

  /** Makes an earlier attempt, which has forwarded the next event of the stream, the latest one again. */
  private resume(attempt: CallAttempt): void {
    const { budget, stream } = this.options;
    if (this.latest) this.drop(this.latest);
    budget.recordResumed();
    stream.recordSend(attempt.upstream);
    this.abandonOthers(attempt);
    attempt.resume();
  }

  /** Abandons an attempt that has not ended, and counts it. */
  private drop(attempt: CallAttempt): void {
    attempt.abandon();
    if (attempt.wasSent) this.options.budget.recordRan();
    else this.options.budget.recordNotRun();
  }

  private abandonOthers(attempt: CallAttempt): void {
    this.discardError();
    const others = this.outstanding.choose(attempt);
    for (const other of others) other.abandon();
    if (others.length > 0) this.options.log.logChosen(attempt, others);
  }

  private discardError(): void {
    this.errorResponse?.abandon();
    this.errorResponse = undefined;
    this.repeatedError?.abandon();
    this.repeatedError = undefined;
  }
}
