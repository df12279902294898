import type { CrashGuard } from "../crashes/crash_guard.ts";
import type { AttemptOutcome } from "./attempt.ts";
import type { DrainAdmission } from "./drain_admission.ts";
import {
  type DispatchProgress,
  type DispatchResult,
  isInconclusive,
  mayHaveRun,
  refuse,
  toTrackedRequest,
} from "./dispatch_progress.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** How dispatching continues after an attempt. */
export type NextStep =
  | { type: "end"; end: DispatchResult }
  | { type: "next_upstream" }
  | { type: "next_owner" };

/** Dependencies of {@link AttemptFollowUp}. */
export interface AttemptFollowUpOptions {
  crashGuard: CrashGuard;
  retryBudget: RetryBudget;
  drain: Pick<DrainAdmission, "endSignal" | "retryAfterMs">;
  /** Called with the id of a router that did not respond. */
  onUnreachable: (routerId: string) => void;
}

/** Decides how dispatching continues after the attempts of requests. */
export class AttemptFollowUp {
  private constructor(private readonly options: AttemptFollowUpOptions) {}

  /** Creates a decider.
   * @param options Its dependencies. */
  static create(options: AttemptFollowUpOptions): AttemptFollowUp {
    return new AttemptFollowUp(options);
  }

  /** Decides how dispatching continues after an attempt.
   * @param progress State of the request.
   * @param ownerId The router that the attempt was made at.
   * @param outcome Outcome of the attempt. */
  decide(
    progress: DispatchProgress,
    ownerId: string,
    outcome: AttemptOutcome,
  ): NextStep {
    progress.hasInconclusiveAttempt ||= isInconclusive(outcome);
    if (outcome.type === "done") {
      return { type: "end", end: { type: "done", pace: progress.pace } };
    }
    if (outcome.type !== "abandoned" && this.options.drain.endSignal.aborted) {
      return this.endForStop(progress);
    }
    switch (outcome.type) {
      case "abandoned":
        return {
          type: "end",
          end: { type: "abandoned", mayHaveRun: mayHaveRun(progress) },
        };
      case "withdrawn":
        return this.endForStop(progress);
      case "expired":
        return {
          type: "end",
          end: refuse(
            progress,
            "deadline_exceeded",
            "the caller's time is over",
          ),
        };
      case "declined":
        return this.decideAfterDecline(progress, ownerId, outcome.reason);
      case "unreachable":
        this.options.onUnreachable(ownerId);
        progress.silent.add(ownerId);
        return this.decideAfterFailure(progress, outcome.detail, {
          type: "next_owner",
        });
      case "failed":
        return this.decideAfterFailure(progress, outcome.detail, {
          type: "next_upstream",
        });
    }
  }

  private endForStop(progress: DispatchProgress): NextStep {
    const { retryAfterMs } = this.options.drain;
    const detail = "the router has stopped";
    return {
      type: "end",
      end: refuse(progress, "draining", detail, retryAfterMs),
    };
  }

  private decideAfterDecline(
    progress: DispatchProgress,
    ownerId: string,
    reason: string,
  ): NextStep {
    progress.lastDetail = reason;
    if (reason === "deadline") {
      return {
        type: "end",
        end: refuse(progress, "deadline_exceeded", "the time ended in a queue"),
      };
    }
    if (reason === "moved") return { type: "next_owner" };
    if (reason !== "stale") return { type: "next_upstream" };
    progress.silent.add(ownerId);
    return { type: "next_owner" };
  }

  private decideAfterFailure(
    progress: DispatchProgress,
    detail: string,
    next: NextStep,
  ): NextStep {
    progress.lastDetail = detail;
    if (progress.grant.isAcquired) {
      return { type: "end", end: refuse(progress, "outcome_unknown", detail) };
    }
    const { crashGuard } = this.options;
    const request = toTrackedRequest(progress);
    if (!crashGuard.mayRetry(request)) {
      const kind = crashGuard.getRefusalKind(request);
      return {
        type: "end",
        end: refuse(progress, kind, `held after ${detail}`),
      };
    }
    if (this.options.retryBudget.tryAcquire()) return next;
    return {
      type: "end",
      end: refuse(progress, "no_upstream", `no retry left: ${detail}`),
    };
  }
}
