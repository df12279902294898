import { readClock } from "../clock/clock.ts";
import { setTimeout as delay } from "node:timers/promises";
import type { Logger } from "../logging/logger.ts";

/** Interval at which it is checked whether the wait is over. */
const POLL_INTERVAL_MS = 50;
/** Minimum time between two log lines of one wait, in milliseconds. */
const LOG_INTERVAL_MS = 2_000;

/** Dependencies of a {@link StartWait}. */
export interface StartWaitOptions {
  logger: Pick<Logger, "warn">;
  /** Whether the router is still starting. */
  isStarting: () => boolean;
  /** Returns monotonic milliseconds. */
  now?: () => number;
  /** Waits for a time in milliseconds. */
  sleep?: (milliseconds: number) => Promise<unknown>;
}

/** Waits for what a router needs before it serves, and logs what a long wait is for. */
export class StartWait {
  private readonly now: () => number;
  private readonly sleep: (milliseconds: number) => Promise<unknown>;

  private constructor(private readonly options: StartWaitOptions) {
    this.now = options.now ?? readClock;
    this.sleep = options.sleep ?? ((milliseconds) => delay(milliseconds));
  }

  /** Creates a wait.
   * @param options Its dependencies. */
  static create(options: StartWaitOptions): StartWait {
    return new StartWait(options);
  }

  /** Waits until a condition holds or the router is no longer starting.
   * @param reason What is waited for, as logged.
   * @param condition The condition, which may itself ask for what is missing.
   * @param describe Returns further fields of the log line. */
  async waitFor(
    reason: string,
    condition: () => boolean | Promise<boolean>,
    describe: () => Record<string, unknown> = () => ({}),
  ): Promise<void> {
    const startedAt = this.now();
    let loggedAt = startedAt;
    while (this.options.isStarting() && !await condition()) {
      const now = this.now();
      if (now - loggedAt >= LOG_INTERVAL_MS) {
        loggedAt = now;
        const waitedMs = Math.round(now - startedAt);
        this.options.logger.warn(
          { reason, waitedMs, ...describe() },
          "router_waiting",
        );
      }
      await this.sleep(POLL_INTERVAL_MS);
    }
  }
}
