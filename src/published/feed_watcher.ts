import { readClock } from "../clock/clock.ts";
import { setTimeout as delay } from "node:timers/promises";
import type { Logger } from "../logging/logger.ts";
import { PollLoop, type PollOutcome } from "../polling/poll_loop.ts";
import { pollSockets } from "../http/poll_sockets.ts";
import { FeedError } from "./feed_error.ts";
import type {
  PublicationChanges,
  PublicationFeed,
} from "./publication_feed.ts";
import type { PublicationReplica } from "./publication_replica.ts";

/** Time after the end of a watch after which its response is overdue, in milliseconds: many times the usual 4 ms. */
const OVERDUE_MS = 300;

/** Dependencies and timing of a feed watcher. */
export interface FeedWatcherOptions {
  feed: PublicationFeed;
  replica: PublicationReplica;
  logger: Logger;
  /** Maximum wait of one watch in milliseconds. It bounds the apparent age of data that does not change. */
  watchMs: number;
  /** Age of the known publication from which the feed is read without a long poll, in milliseconds. */
  lateAgeMs: number;
  /** Mean pause after a failure in milliseconds; the actual pause is drawn between 0.5 and 1.5 times this value. */
  getRetryMs: () => number;
  /** Pause after a watch that returned changes, in milliseconds, so that changes which follow arrive in one batch. */
  batchDelayMs: number;
  /** Returns the mean interval in milliseconds at which an idle watcher checks whether this process should watch. */
  getIdleCheckMs: () => number;
  /** Whether this process should watch the feed now instead of receiving the changes from its peers. */
  shouldWatch: () => boolean;
  /** Whether this process was paused within a time, in milliseconds, so that a missing response shows nothing about the
   * platform. */
  hasPausedWithin?: (durationMs: number) => boolean;
}

/** Reads a snapshot and then long-polls the feed for changes while this process should watch. */
export class FeedWatcher {
  private readonly loop: PollLoop;
  private revision: number | undefined;
  private failedSince: number | undefined;
  private lastSuccessAt = readClock();
  /** Monotonic milliseconds at which the latest read started. */
  private startedAt = -Infinity;

  private constructor(private readonly options: FeedWatcherOptions) {
    this.loop = PollLoop.create({
      poll: () => this.poll(),
      isActive: options.shouldWatch,
      getDelayMs: (outcome) =>
        outcome === "idle" ? options.getIdleCheckMs() : this.getRetryMs(),
      onOutcome: (outcome, error) => this.handleOutcome(outcome, error),
    });
  }

  /** Creates a watcher and starts it.
   * @param options Dependencies and timing. */
  static create(options: FeedWatcherOptions): FeedWatcher {
    return new FeedWatcher(options);
  }

  /** Stops watching after the pending call. */
  close(): void {
    this.loop.close();
  }

  private handleOutcome(outcome: PollOutcome, error: unknown): void {
    if (outcome === "idle") this.revision = undefined;
    if (outcome === "worked") this.recordSuccess();
    if (outcome === "failed") this.recordFailure(error);
  }

  private async poll(): Promise<void> {
    this.startedAt = readClock();
    if (this.revision === undefined) await this.readSnapshot(this.startedAt);
    else await this.watch(this.revision, this.startedAt);
  }

  private async readSnapshot(requestedAt: number): Promise<void> {
    const snapshot = await this.options.feed.readSnapshot();
    this.options.replica.applySnapshot(snapshot, requestedAt);
    this.logProblems(snapshot.problems);
    this.revision = snapshot.revision;
  }

  private async watch(revision: number, requestedAt: number): Promise<void> {
    const { feed, replica, lateAgeMs } = this.options;
    // The response to a long poll would tell only at its end that nothing is missing.
    const isLate = replica.ageMs > lateAgeMs;
    const watchMs = isLate ? 0 : this.options.watchMs;
    const changes = await this.awaitWatch(feed.watch(revision, watchMs), {
      requestedAt,
      watchMs,
    });
    const isEmpty = changes.upstreams.length === 0 &&
      changes.evacuations.length === 0 && changes.configuration === undefined;
    // The platform holds an empty response for the whole wait, so nothing changed until the end of the wait.
    const heldUntil = Math.min(readClock(), requestedAt + watchMs);
    replica.applyChanges(changes, isEmpty ? heldUntil : requestedAt);
    this.logProblems(changes.problems);
    this.revision = changes.revision;
    if (!isEmpty && !isLate) await delay(this.options.batchDelayMs);
  }

  /** Awaits the response to a watch, and records an outage of the platform once it is overdue. */
  private async awaitWatch(
    response: Promise<PublicationChanges>,
    { requestedAt, watchMs }: { requestedAt: number; watchMs: number },
  ): Promise<PublicationChanges> {
    let hasEnded = false;
    const timer = setTimeout(async () => {
      await pollSockets();
      if (!hasEnded) this.recordOutage(requestedAt);
    }, watchMs + OVERDUE_MS);
    try {
      return await response;
    } finally {
      hasEnded = true;
      clearTimeout(timer);
    }
  }

  private recordOutage(requestedAt: number): void {
    if (this.hasPausedSince(requestedAt)) return;
    this.options.replica.recordOutage(readClock());
  }

  /** Returns the pause after a failed read: none if this process was paused meanwhile, so that the read failed of that. */
  private getRetryMs(): number {
    return this.hasPausedSince(this.startedAt) ? 0 : this.options.getRetryMs();
  }

  private hasPausedSince(moment: number): boolean {
    return this.options.hasPausedWithin?.(readClock() - moment) ?? false;
  }

  private logProblems(problems: readonly string[]): void {
    for (const reason of problems) {
      this.options.logger.error({ reason }, "published_value_refused");
    }
  }

  private recordSuccess(): void {
    const now = readClock();
    if (this.failedSince !== undefined) {
      const outageMs = Math.round(now - this.lastSuccessAt);
      this.options.logger.info({ outageMs }, "platform_regained");
    }
    this.failedSince = undefined;
    this.lastSuccessAt = now;
  }

  private recordFailure(error: unknown): void {
    if (error instanceof FeedError && error.failure.kind === "history_lost") {
      this.options.logger.info(
        { revision: this.revision },
        "platform_history_lost",
      );
      this.revision = undefined;
      return;
    }
    this.recordOutage(this.startedAt);
    if (this.failedSince !== undefined) return;
    this.failedSince = readClock();
    this.options.logger.warn(
      { reason: String(error), ageMs: Math.round(this.options.replica.ageMs) },
      "platform_lost",
    );
  }
}
