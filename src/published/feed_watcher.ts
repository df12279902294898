import { setTimeout as delay } from "node:timers/promises";
import type { Logger } from "../logging/logger.ts";
import { Random } from "../random/random.ts";
import { FeedError } from "./feed_error.ts";
import type { PublicationFeed } from "./publication_feed.ts";
import type { PublicationKeeper } from "./publication_keeper.ts";

/** What the watcher needs and how it is paced. */
export interface FeedWatcherOptions {
  feed: PublicationFeed;
  keeper: PublicationKeeper;
  logger: Logger;
  /** Longest wait of one watch in milliseconds; it bounds how old an unchanged state may look. */
  watchMs: number;
  /** Pause after a failure in milliseconds, drawn between half and one and a half of it. */
  getRetryMs: () => number;
  /** Interval of the check whether to watch, in milliseconds. */
  idleCheckMs: number;
  /** Whether this process is to watch now, rather than hear from peers. */
  isNeeded: () => boolean;
}

/** Repeats long polls of what is published while this process is to watch. */
export class FeedWatcher {
  private readonly abort = new AbortController();
  private readonly random = Random.create();
  private revision: number | undefined;
  private failedSince: number | undefined;
  private answeredAt = performance.now();

  private constructor(private readonly options: FeedWatcherOptions) {}

  /** Creates a watcher and starts it.
   * @param options What it needs. */
  static create(options: FeedWatcherOptions): FeedWatcher {
    const watcher = new FeedWatcher(options);
    void watcher.run();
    return watcher;
  }

  /** Ends the watch after the call under way. */
  close(): void {
    this.abort.abort();
  }

  private async run(): Promise<void> {
    while (!this.abort.signal.aborted) {
      if (!this.options.isNeeded()) {
        this.revision = undefined;
        await this.pause(this.options.idleCheckMs);
        continue;
      }
      const hasWorked = await this.tryStep();
      if (!hasWorked) {
        const factor = 0.5 + this.random.fraction();
        await this.pause(this.options.getRetryMs() * factor);
      }
    }
  }

  private async tryStep(): Promise<boolean> {
    try {
      await this.step();
      this.noteSuccess();
      return true;
    } catch (error) {
      this.noteFailure(error);
      return false;
    }
  }

  private async step(): Promise<void> {
    const askedAt = performance.now();
    if (this.revision === undefined) {
      const snapshot = await this.options.feed.readSnapshot();
      this.options.keeper.takeSnapshot(snapshot, askedAt);
      this.logProblems(snapshot.problems);
      this.revision = snapshot.revision;
      return;
    }
    const { watchMs, feed, keeper } = this.options;
    const changes = await feed.watch(this.revision, watchMs);
    const isEmpty = changes.upstreams.length === 0 &&
      changes.configuration === undefined;
    // An empty answer was held for the whole wait, so there was no change up to the wait's end.
    keeper.takeChanges(changes, isEmpty ? askedAt + watchMs : askedAt);
    this.logProblems(changes.problems);
    this.revision = changes.revision;
  }

  private logProblems(problems: readonly string[]): void {
    for (const reason of problems) {
      this.options.logger.error({ reason }, "published_value_refused");
    }
  }

  private noteSuccess(): void {
    const now = performance.now();
    if (this.failedSince !== undefined) {
      const outageMs = Math.round(now - this.answeredAt);
      this.options.logger.info({ outageMs }, "platform_regained");
    }
    this.failedSince = undefined;
    this.answeredAt = now;
  }

  private noteFailure(error: unknown): void {
    if (this.abort.signal.aborted) return;
    if (error instanceof FeedError && error.failure.kind === "history_lost") {
      this.options.logger.info(
        { revision: this.revision },
        "platform_history_lost",
      );
      this.revision = undefined;
      return;
    }
    if (this.failedSince !== undefined) return;
    this.failedSince = performance.now();
    this.options.logger.warn(
      { reason: String(error), ageMs: Math.round(this.options.keeper.ageMs) },
      "platform_lost",
    );
  }

  private async pause(milliseconds: number): Promise<void> {
    await delay(milliseconds, undefined, { signal: this.abort.signal }).catch(
      () => undefined,
    );
  }
}
