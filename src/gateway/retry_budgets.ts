import type { Random } from "../random/random.ts";
import { RetryBudgetShare } from "../upstreams/retry_budget_share.ts";
import type { RetryDecision } from "../upstreams/retry_decision.ts";
import type { GatewaySettings } from "./gateway_settings.ts";

/** Dependencies of {@link RetryBudgets}. */
export interface RetryBudgetsOptions {
  /** Returns the current settings of the budgets. */
  getSettings: () => Pick<
    GatewaySettings,
    "isFirstStart" | "retryExtra" | "retryRatio" | "retryWindowMs"
  >;
  /** Returns the number of hosts that may share the budgets, including recently lost ones; undefined while it is not
   * known. */
  getFleetSize: () => number | undefined;
  /** Returns the part of the fleet's hosts that has not been lost within a time, in milliseconds. */
  getRetainedFraction: (withinMs: number) => number;
  random: Random;
  /** Returns monotonic milliseconds that never run ahead of the true time. */
  readNow: () => number;
}

/** This host's shares of the fleet's retry budgets, one per service. Changed settings apply to the retries that were
 * already sent. */
export class RetryBudgets {
  private readonly shares = new Map<string, RetryBudgetShare>();
  /** Monotonic milliseconds from which on this host's retries are recorded. */
  private readonly recordedSince: number;

  private constructor(private readonly options: RetryBudgetsOptions) {
    const { isFirstStart } = options.getSettings();
    this.recordedSince = isFirstStart ? -Infinity : options.readNow();
  }

  /** Creates unused budgets.
   * @param options Their dependencies. */
  static create(options: RetryBudgetsOptions): RetryBudgets {
    return new RetryBudgets(options);
  }

  /** Records the first attempt of a request, which adds to the share.
   * @param service Service of the request. */
  recordRequest(service: string): void {
    this.getShare(service).recordRequest(this.options.readNow());
  }

  /** Takes one retry from the share of a service if any is left.
   * @param service Name of the service. */
  tryAcquire(service: string): RetryDecision {
    return this.getShare(service).tryAcquire(this.options.readNow());
  }

  private getShare(service: string): RetryBudgetShare {
    const existing = this.shares.get(service);
    if (existing) return existing;
    const { getSettings, getFleetSize, getRetainedFraction, random } =
      this.options;
    const share = RetryBudgetShare.create({
      getLimits: () => {
        const { retryRatio, retryExtra, retryWindowMs } = getSettings();
        return {
          ratio: retryRatio,
          extra: retryExtra,
          windowMs: retryWindowMs,
        };
      },
      getFleetSize,
      getRetainedFraction,
      random,
      recordedSince: this.recordedSince,
    });
    this.shares.set(service, share);
    return share;
  }
}
