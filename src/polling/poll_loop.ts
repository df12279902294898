import { setTimeout as delay } from "node:timers/promises";
import { Random } from "../random/random.ts";

/** Outcome of one iteration: the poll succeeded or failed, or was skipped because the loop is not active. */
export type PollOutcome = "worked" | "failed" | "idle";

/** The poll of a loop and its timing. */
export interface PollLoopOptions {
  /** Sends one request and handles its response; an exception counts as a failure. */
  poll: () => Promise<void>;
  /** Whether this process should poll now; if not, the loop only checks again later. */
  isActive: () => boolean;
  /** Mean delay after an iteration that failed or was idle, in milliseconds; the delay is jittered uniformly between
   * 0.5 and 1.5 times the mean. */
  getDelayMs: (outcome: "failed" | "idle") => number;
  /** Called after each iteration, with the error if the poll failed; a failure caused by closing the loop is not
   * passed on. */
  onOutcome: (outcome: PollOutcome, error?: unknown) => void;
}

/** Repeats a long poll until the loop is closed. */
export class PollLoop {
  private readonly abort = new AbortController();
  private readonly random = Random.create();

  private constructor(private readonly options: PollLoopOptions) {}

  /** Creates a loop and starts it.
   * @param options The poll and its timing. */
  static create(options: PollLoopOptions): PollLoop {
    const loop = new PollLoop(options);
    void loop.run();
    return loop;
  }

  /** Ends the loop after the poll in progress. */
  close(): void {
    this.abort.abort();
  }

  private async run(): Promise<void> {
    while (!this.abort.signal.aborted) {
      const result = this.options.isActive() ? await this.tryPoll() : "idle";
      if (result === "idle") this.options.onOutcome(result);
      if (result !== "worked") await this.wait(this.options.getDelayMs(result));
    }
  }

  private async tryPoll(): Promise<"worked" | "failed"> {
    try {
      await this.options.poll();
      this.options.onOutcome("worked");
      return "worked";
    } catch (error) {
      if (!this.abort.signal.aborted) this.options.onOutcome("failed", error);
      return "failed";
    }
  }

  private async wait(meanMs: number): Promise<void> {
    const delayMs = meanMs * (0.5 + this.random.fraction());
    // Closing the loop aborts the delay, which then rejects; the loop ends at its next check.
    await delay(delayMs, undefined, { signal: this.abort.signal }).catch(
      () => undefined,
    );
  }
}
