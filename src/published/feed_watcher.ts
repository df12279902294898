import { readClock } from "../clock/clock.ts";
import { setTimeout as delay } from "node:timers/promises";
import type { Logger } from "../logging/logger.ts";
import { PollLoop, type PollTurn } from "../polling/poll_loop.ts";
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
  /** Pause after changes came, in milliseconds, so that those which follow come together. */
  gatherMs: number;
  /** Mean interval of the check whether to watch, in milliseconds. */
  idleCheckMs: number;
  /** Whether this process is to watch now, rather than hear from peers. */
  isNeeded: () => boolean;
}

/** Repeats long polls of what is published while this process is to watch. */
export class FeedWatcher {
  private readonly loop: PollLoop;
  private revision: number | undefined;
  private failedSince: number | undefined;
  private answeredAt = readClock();

  private constructor(private readonly options: FeedWatcherOptions) {
    this.loop = PollLoop.create({
      step: () => this.step(),
      isActive: options.isNeeded,
      getPauseMs: (turn) =>
        turn === "idle" ? options.idleCheckMs : options.getRetryMs(),
      onTurn: (turn, error) => this.noteTurn(turn, error),
    });
  }

  /** Creates a watcher and starts it.
   * @param options What it needs. */
  static create(options: FeedWatcherOptions): FeedWatcher {
    return new FeedWatcher(options);
  }

  /** Ends the watch after the call under way. */
  close(): void {
    this.loop.close();
  }

  private noteTurn(turn: PollTurn, error: unknown): void {
    if (turn === "idle") this.revision = undefined;
    if (turn === "worked") this.noteSuccess();
    if (turn === "failed") this.noteFailure(error);
  }

  private async step(): Promise<void> {
    const askedAt = readClock();
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
    const heldUntil = Math.min(readClock(), askedAt + watchMs);
    keeper.takeChanges(changes, isEmpty ? heldUntil : askedAt);
    this.logProblems(changes.problems);
    this.revision = changes.revision;
    if (!isEmpty) await delay(this.options.gatherMs);
  }

  private logProblems(problems: readonly string[]): void {
    for (const reason of problems) {
      this.options.logger.error({ reason }, "published_value_refused");
    }
  }

  private noteSuccess(): void {
    const now = readClock();
    if (this.failedSince !== undefined) {
      const outageMs = Math.round(now - this.answeredAt);
      this.options.logger.info({ outageMs }, "platform_regained");
    }
    this.failedSince = undefined;
    this.answeredAt = now;
  }

  private noteFailure(error: unknown): void {
    if (error instanceof FeedError && error.failure.kind === "history_lost") {
      this.options.logger.info(
        { revision: this.revision },
        "platform_history_lost",
      );
      this.revision = undefined;
      return;
    }
    if (this.failedSince !== undefined) return;
    this.failedSince = readClock();
    this.options.logger.warn(
      { reason: String(error), ageMs: Math.round(this.options.keeper.ageMs) },
      "platform_lost",
    );
  }
}
