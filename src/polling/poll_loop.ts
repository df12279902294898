import { setTimeout as delay } from "node:timers/promises";
import { Random } from "../random/random.ts";

/** How one turn of a loop went: the call worked or failed, or this process is not to make it now. */
export type PollTurn = "worked" | "failed" | "idle";

/** What a loop does and how it is paced. */
export interface PollLoopOptions {
  /** Makes one call and handles its answer; a throw counts as failure. */
  step: () => Promise<void>;
  /** Whether this process is to call now; where not, the loop only checks again later. */
  isActive: () => boolean;
  /** Mean pause after a turn that did not work, in milliseconds; drawn between half and one and a half of it. */
  getPauseMs: (turn: "failed" | "idle") => number;
  /** Told after each call, with its error where it failed. */
  onTurn: (turn: PollTurn, error?: unknown) => void;
}

/** Repeats a long poll until closed. */
export class PollLoop {
  private readonly abort = new AbortController();
  private readonly random = Random.create();

  private constructor(private readonly options: PollLoopOptions) {}

  /** Creates a loop and starts it.
   * @param options What it does and how it is paced. */
  static create(options: PollLoopOptions): PollLoop {
    const loop = new PollLoop(options);
    void loop.run();
    return loop;
  }

  /** Ends the loop after the call under way. */
  close(): void {
    this.abort.abort();
  }

  private async run(): Promise<void> {
    while (!this.abort.signal.aborted) {
      const turn = this.options.isActive() ? await this.tryStep() : "idle";
      if (turn === "idle") this.options.onTurn(turn);
      if (turn !== "worked") await this.pause(this.options.getPauseMs(turn));
    }
  }

  private async tryStep(): Promise<"worked" | "failed"> {
    try {
      await this.options.step();
      this.options.onTurn("worked");
      return "worked";
    } catch (error) {
      if (!this.abort.signal.aborted) this.options.onTurn("failed", error);
      return "failed";
    }
  }

  private async pause(meanMs: number): Promise<void> {
    const milliseconds = meanMs * (0.5 + this.random.fraction());
    // A pause that is aborted rejects; the loop then ends by itself.
    await delay(milliseconds, undefined, { signal: this.abort.signal }).catch(
      () => undefined,
    );
  }
}
