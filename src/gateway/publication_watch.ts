import { readClock } from "../clock/clock.ts";
import type { Logger } from "../logging/logger.ts";
import { Random } from "../random/random.ts";
import type { KnownHost } from "../peers/known_host.ts";
import { FeedWatcher } from "../published/feed_watcher.ts";
import type { PublicationFeed } from "../published/publication_feed.ts";
import type { PublicationReplica } from "../published/publication_replica.ts";
import { getLateAgeMs, getWatchMs } from "../published/publication_timing.ts";
import { WatcherRanking } from "./watcher_ranking.ts";

/** Pause after changes arrive, to batch those that follow: engines change their entries in bursts, each call to the
 * platform has a cost, and the bounds on draining and on configurations are seconds. */
export const CHANGE_BATCHING_MS = 120;
/** Time after a start in which a host that hears others and has a publication younger than this does not watch, because
 * it does not know yet which hosts should. */
const STARTUP_GRACE_MS = 1_000;
/** Minimum and maximum time after a start for which a host with seeds waits for the publication of another host before
 * it reads the platform itself. The seeds read it immediately. */
const PEER_BOOTSTRAP_WAIT_RANGE_MS = [300, 600] as const;
/** Mean pause of a watcher after a failed read of the platform, drawn between 0.5 and 1.5 times this value. */
const WATCHER_RETRY_MS = 200;
/** Mean pause of a backup host; longer, because every call to the platform has a cost, even a refused one. */
const BACKUP_RETRY_MS = 1_000;
/** Time for which a ranking of the hosts is reused: two gossip rounds. */
const RANKING_TTL_MS = 400;
/** Mean interval at which a host that does not watch checks whether it should, in milliseconds: shorter after a start,
 * since callers wait for the first configuration. */
const IDLE_CHECK_INTERVAL_MS = { starting: 100, running: 400 } as const;
/** Time after a start in which the shorter interval applies, in milliseconds. */
const STARTING_MS = 3_000;

/** Dependencies of a {@link PublicationWatch}. */
export interface PublicationWatchOptions {
  logger: Logger;
  feed: PublicationFeed;
  replica: PublicationReplica;
  /** Time within which changes must be in force, in milliseconds. */
  applyWithinMs: number;
  /** Returns the id of this host. */
  getHostId: () => string;
  /** Returns the other live hosts. */
  getLiveHosts: () => readonly KnownHost[];
  /** Whether this process was paused within a time, in milliseconds. */
  hasPausedWithin: (durationMs: number) => boolean;
  /** Whether other hosts are likely to have the publication before this one: it has seeds and is not a seed itself. */
  mayBootstrapFromPeers: () => boolean;
}

/** Watches the platform for changes of the publication while this host is one of those that should watch. */
export class PublicationWatch {
  private readonly watcher: FeedWatcher;
  private readonly startedAt = readClock();
  private readonly peerBootstrapWaitMs = Random.create().integer(
    ...PEER_BOOTSTRAP_WAIT_RANGE_MS,
  );
  private rankedAt = readClock();
  private cachedRanking: WatcherRanking;

  private constructor(private readonly options: PublicationWatchOptions) {
    const { feed, replica, logger } = options;
    this.cachedRanking = this.buildRanking();
    this.watcher = FeedWatcher.create({
      feed,
      replica,
      logger,
      watchMs: getWatchMs(options.applyWithinMs),
      lateAgeMs: getLateAgeMs(options.applyWithinMs),
      batchDelayMs: CHANGE_BATCHING_MS,
      getRetryMs: () =>
        this.ranking.isWatcher ? WATCHER_RETRY_MS : BACKUP_RETRY_MS,
      getIdleCheckMs: () => this.getIdleCheckMs(),
      shouldWatch: () => this.shouldWatch(),
      hasPausedWithin: options.hasPausedWithin,
    });
  }

  /** Creates a watch and starts it.
   * @param options Its dependencies. */
  static create(options: PublicationWatchOptions): PublicationWatch {
    return new PublicationWatch(options);
  }

  /** Ends the watch after the current call. */
  close(): void {
    this.watcher.close();
  }

  /** Returns the hosts from which this one learns of changes; none if it is a watcher. */
  getSources(): string[] {
    return this.ranking.getSources();
  }

  /** Returns the hosts to query while the publication is late. */
  getLateSources(): string[] {
    return this.ranking.getLateSources();
  }

  private get ranking(): WatcherRanking {
    const now = readClock();
    if (now - this.rankedAt > RANKING_TTL_MS) {
      this.rankedAt = now;
      this.cachedRanking = this.buildRanking();
    }
    return this.cachedRanking;
  }

  private getIdleCheckMs(): number {
    const isStarting = readClock() - this.startedAt < STARTING_MS;
    return IDLE_CHECK_INTERVAL_MS[isStarting ? "starting" : "running"];
  }

  private shouldWatch(): boolean {
    const { replica, mayBootstrapFromPeers } = this.options;
    const { ageMs } = replica;
    const uptimeMs = readClock() - this.startedAt;
    const awaitsPeer = uptimeMs < this.peerBootstrapWaitMs &&
      mayBootstrapFromPeers();
    if (ageMs === Infinity && awaitsPeer) return false;
    const isStarting = uptimeMs < STARTUP_GRACE_MS;
    const hearsOthers = this.options.getLiveHosts().length > 0;
    if (isStarting && hearsOthers && ageMs < STARTUP_GRACE_MS) return false;
    return this.ranking.shouldWatch(ageMs, replica.isPlatformUnavailable);
  }

  private buildRanking(): WatcherRanking {
    const notDraining = this.options.getLiveHosts().filter((host) =>
      host.entry.phase !== "draining"
    ).map((host) => host.entry.id);
    return WatcherRanking.create(this.options.getHostId(), notDraining);
  }
}
