import type { RepeatCause } from "../scheduling/decide_repeat.ts";
import type { AttemptFailure } from "./attempt.ts";
import type { AttemptEnd } from "./attempt_end.ts";
import { mayRunAgain, type RoutedCall } from "./routed_call.ts";

/** Maximum attempts that end without running the request: the upstream was unreachable, full or gone. */
const MAX_NOT_RUN_ATTEMPTS = 4;

/** Counts the attempts of a call and decides whether another is allowed. */
export class AttemptBudget {
  private ranAttempts = 0;
  private notRunAttempts = 0;

  private constructor(
    private readonly call: RoutedCall,
    private readonly spendServiceRetry: (cause: RepeatCause) => boolean,
  ) {}

  /** Creates an unused budget.
   * @param call The call.
   * @param spendServiceRetry Takes a retry from the budget of the call's service, unless it gives way to other requests;
   * returns whether one was taken. */
  static create(
    call: RoutedCall,
    spendServiceRetry: (cause: RepeatCause) => boolean,
  ): AttemptBudget {
    return new AttemptBudget(call, spendServiceRetry);
  }

  /** Whether an attempt that has ended may have run the request. */
  get mayHaveRun(): boolean {
    return this.ranAttempts > 0;
  }

  /** Counts an attempt that may have run the request. */
  recordRan(): void {
    this.ranAttempts += 1;
  }

  /** Counts an attempt as in progress again that was counted as one that may have run the request. */
  recordResumed(): void {
    this.ranAttempts -= 1;
  }

  /** Counts an attempt that certainly did not run the request. */
  recordNotRun(): void {
    this.notRunAttempts += 1;
  }

  /** Whether the call and its route allow the request to run once more.
   * @param attemptsInProgress Attempts in progress, which may run it too. */
  allowsRun(attemptsInProgress = 0): boolean {
    return mayRunAgain(this.call) &&
      this.ranAttempts + attemptsInProgress < this.call.route.maxAttempts;
  }

  /** Counts an attempt that ended without an answer, and takes a retry if one is needed; returns whether another attempt
   * is allowed.
   * @param end How the attempt ended. */
  spendRetryAfterEnd(end: Exclude<AttemptEnd, { type: "answered" }>): boolean {
    switch (end.type) {
      case "declined":
        this.recordNotRun();
        return this.spendRetryAfterNotRun();
      case "failed":
        return this.spendRetryAfterFailure(end.failure);
      case "unusable":
      case "error":
        this.recordRan();
        return this.spendRetryAfterRun("error");
    }
  }

  /** Takes a retry after an attempt that may have run the request; returns whether it is allowed.
   * @param cause Why the request is to be sent again. */
  spendRetryAfterRun(cause: RepeatCause): boolean {
    return this.allowsRun() && this.spendRetry(cause);
  }

  /** Counts a failed attempt, and takes a retry if one is needed; returns whether another attempt is allowed.
   * @param failure Why the attempt failed. */
  spendRetryAfterFailure(failure: AttemptFailure): boolean {
    if (failure === "broken") {
      this.recordRan();
      return this.spendRetryAfterRun("broken");
    }
    this.recordNotRun();
    return this.allowsRetryAfterUnsent();
  }

  /** Whether another attempt is allowed after one that reached no upstream. It takes no retry from the service's
   * budget, which covers arrivals at upstreams beyond the first: the next attempt is the first to arrive. */
  allowsRetryAfterUnsent(): boolean {
    return this.notRunAttempts < MAX_NOT_RUN_ATTEMPTS;
  }

  /** Takes a retry after an attempt that certainly did not run the request; returns whether it is allowed. */
  spendRetryAfterNotRun(): boolean {
    return this.notRunAttempts < MAX_NOT_RUN_ATTEMPTS &&
      this.spendRetry("not_run");
  }

  /** Takes a retry from the budget of the call's service; returns whether it is allowed.
   * @param cause Why the request is to be sent again. */
  spendRetry(cause: RepeatCause): boolean {
    return this.spendServiceRetry(cause);
  }
}
