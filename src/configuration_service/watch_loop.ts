import { setTimeout as delay } from "node:timers/promises";
import { Random } from "../random/random.ts";

/** What one watch does and how it is paced. */
export interface WatchLoopOptions {
  /** Makes one call and handles its answer; a throw counts as failure. */
  step: () => Promise<void>;
  /** Whether this router watches now; where not, the loop only checks again later. */
  isActive: () => boolean;
  /** Pause after a failure, and between checks whether to watch. */
  retryMs: number;
  /** Told of each change between failing and working. */
  onReachable: (reachable: boolean) => void;
}

/** Repeats a long poll until closed. */
export class WatchLoop {
  private readonly abort = new AbortController();
  private readonly random = Random.create();

  private constructor(private readonly options: WatchLoopOptions) {}

  /** Creates a loop and starts it.
   * @param options What one watch does and how it is paced. */
  static create(options: WatchLoopOptions): WatchLoop {
    const loop = new WatchLoop(options);
    void loop.run();
    return loop;
  }

  /** Ends the loop after the call under way. */
  close(): void {
    this.abort.abort();
  }

  private async run(): Promise<void> {
    let reachable = true;
    while (!this.abort.signal.aborted) {
      const worked = this.options.isActive() ? await this.tryStep() : undefined;
      if (worked !== undefined && worked !== reachable) {
        reachable = worked;
        this.options.onReachable(worked);
      }
      if (worked !== true) await this.pause();
    }
  }

  private async tryStep(): Promise<boolean> {
    try {
      await this.options.step();
      return true;
    } catch {
      return false;
    }
  }

  private async pause(): Promise<void> {
    const milliseconds = this.options.retryMs * (0.5 + this.random.fraction());
    await delay(milliseconds, undefined, { signal: this.abort.signal }).catch(
      () => undefined,
    );
  }
}
