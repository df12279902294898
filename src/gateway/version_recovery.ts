import { setTimeout as delay } from "node:timers/promises";
import { readClock } from "../clock/clock.ts";
import type { Logger } from "../logging/logger.ts";
import type { PublicationFeed } from "../published/publication_feed.ts";
import { deriveVersionHistory } from "../upstreams/derive_version_history.ts";
import type { VersionHistory } from "../upstreams/version_history.ts";
import type { StartKnowledgeExchange } from "./start_knowledge_exchange.ts";

/** Time for which all versions must be known, in milliseconds; longer than most routes allow a stream to last. A host
 * that knows less reads the history of the platform. */
const SUFFICIENT_MS = 20_000;
/** Time after the first publication for which other hosts are asked before the platform, in milliseconds. */
const PEER_WAIT_MS = 60;
/** Interval at which hosts that read the platform are asked for what they have learned, in milliseconds. */
const RETRY_INTERVAL_MS = 150;
/** Maximum number of attempts to learn the versions. */
const MAX_ATTEMPTS = 6;
/** Maximum time for which a caller that resumes a stream waits for the versions, in milliseconds after the first
 * publication. */
const MAX_WAIT_MS = 800;

/** Dependencies of a {@link VersionRecovery}. */
export interface VersionRecoveryOptions {
  logger: Logger;
  feed: PublicationFeed;
  versions: VersionHistory;
  startKnowledge: StartKnowledgeExchange;
  /** Returns the ids of the hosts from which this one learns of changes; none if it reads the platform itself. */
  getSourceIds: () => readonly string[];
}

/** Learns after a start which software versions have served before: from hosts that have observed it, and if none has,
 * from the history of the platform. */
export class VersionRecovery {
  /** Resolves when the versions are learned or callers should wait no longer; undefined if nothing is being learned. */
  pending: Promise<void> | undefined;
  private isClosed = false;

  private constructor(private readonly options: VersionRecoveryOptions) {}

  /** Creates a recovery.
   * @param options Its dependencies. */
  static create(options: VersionRecoveryOptions): VersionRecovery {
    return new VersionRecovery(options);
  }

  /** Learns the versions. The published upstreams must be known. */
  async run(): Promise<void> {
    const learning = this.learn();
    this.pending = Promise.race([
      learning,
      delay(MAX_WAIT_MS, undefined, { ref: false }),
    ]);
    await Promise.all([this.options.startKnowledge.learn(), learning]);
    this.pending = undefined;
  }

  /** Ends the attempts. */
  close(): void {
    this.isClosed = true;
  }

  private get knowsEnough(): boolean {
    return this.options.versions.describe().observedMs >= SUFFICIENT_MS;
  }

  private async learn(): Promise<void> {
    await delay(PEER_WAIT_MS, undefined, { ref: false });
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      if (this.isClosed || this.knowsEnough) return;
      const sourceIds = this.options.getSourceIds();
      if (sourceIds.length > 0) {
        await this.options.startKnowledge.learnFromHosts(sourceIds);
      } else if (await this.readHistory(attempt)) return;
      await delay(RETRY_INTERVAL_MS, undefined, { ref: false });
    }
  }

  /** Reads the history of the platform; resolves with whether it was read. */
  private async readHistory(attempt: number): Promise<boolean> {
    const { feed, versions, logger } = this.options;
    const startedAt = readClock();
    try {
      const read = await feed.readHistory();
      const history = deriveVersionHistory(read, Date.now());
      versions.adopt(history);
      logger.info({
        calls: read.calls,
        changes: read.changes.length,
        completeAfter: read.completeAfter,
        observedMs: Math.min(history.observedMs, Number.MAX_SAFE_INTEGER),
        departures: history.departures.map((
          { service, softwareVersion, agoMs },
        ) => `${service}@${softwareVersion ?? "unknown"}@${agoMs}`).join(","),
        defect: history.defect,
        durationMs: Math.round(readClock() - startedAt),
      }, "version_history_read");
      return true;
    } catch (error) {
      const reason = (error as Error).message;
      logger.warn({ reason, attempt }, "version_history_not_read");
      return false;
    }
  }
}
