import { readClock } from "../clock/clock.ts";
import type { Logger } from "../logging/logger.ts";
import { Random } from "../random/random.ts";
import type { KnownHost } from "../peers/known_host.ts";
import { FeedWatcher } from "../published/feed_watcher.ts";
import type { PublicationFeed } from "../published/publication_feed.ts";
import type { PublicationKeeper } from "../published/publication_keeper.ts";
import { WatchOrder } from "./watch_order.ts";

/** Longest wait of one watch, in milliseconds; what is known looks as old as that where nothing changes. */
const WATCH_TIMEOUT_MS = 1_000;
/** Pause after changes came, in milliseconds: engines change their entries in bursts, each call has its price, and the
 * bounds on leaving and on configurations are seconds. */
const CHANGE_BATCHING_MS = 120;
/** Time after a start in which a host that hears others leaves watching to them, in milliseconds: it does not know yet
 * who is to watch. */
const STARTUP_GRACE_MS = 1_000;
/** Least and most time after a start in which a host that knows seeds waits for another's copy before it reads the platform
 * itself, in milliseconds. The seeds read at once. */
const PEER_BOOTSTRAP_WAIT_MS = [300, 600] as const;
/** Pause after a failed read of the platform, in milliseconds; drawn between half and one and a half of it. */
const WATCHER_RETRY_MS = 200;
/** The same for hosts that only help out, which is longer, for every call has its price, also one that is refused. */
const BACKUP_RETRY_MS = 1_000;
/** Time for which the order of the hosts is used before it is worked out anew, in milliseconds: two rounds of gossip. */
const RANKING_TTL_MS = 400;
/** Interval at which a host that does not watch looks whether it should, in milliseconds. */
const IDLE_CHECK_INTERVAL_MS = 100;

/** What the watch needs of the gateway. */
export interface PublicationWatchOptions {
  logger: Logger;
  feed: PublicationFeed;
  published: PublicationKeeper;
  /** Name of this host in the settings in force. */
  getHostId: () => string;
  /** Other hosts that are heard. */
  getLiveHosts: () => readonly KnownHost[];
  /** Whether other hosts are likely to have a copy of what is published before this one: it has seeds and is none. */
  mayBootstrapFromPeers: () => boolean;
}

/** A host's part in watching the platform: whether it is one of the hosts that watch. */
export class PublicationWatch {
  private readonly watcher: FeedWatcher;
  private readonly startedAt = readClock();
  private readonly peerBootstrapWaitMs = Random.create().integer(
    ...PEER_BOOTSTRAP_WAIT_MS,
  );
  private rankedAt = readClock();
  private cachedRanking: WatchOrder;

  private constructor(private readonly options: PublicationWatchOptions) {
    const { feed, published: keeper, logger } = options;
    this.cachedRanking = this.buildRanking();
    this.watcher = FeedWatcher.create({
      feed,
      keeper,
      logger,
      watchMs: WATCH_TIMEOUT_MS,
      gatherMs: CHANGE_BATCHING_MS,
      getRetryMs: () =>
        this.ranking.isWatcher ? WATCHER_RETRY_MS : BACKUP_RETRY_MS,
      idleCheckMs: IDLE_CHECK_INTERVAL_MS,
      isNeeded: () => this.shouldWatch(),
    });
  }

  /** Creates a watch and starts it.
   * @param options What it needs. */
  static create(options: PublicationWatchOptions): PublicationWatch {
    return new PublicationWatch(options);
  }

  /** Ends the watch after the call under way. */
  close(): void {
    this.watcher.close();
  }

  /** Hosts that this one asks for the age of what they know, none where it watches itself. */
  getSources(): string[] {
    return this.ranking.getSources();
  }

  private get ranking(): WatchOrder {
    const now = readClock();
    if (now - this.rankedAt > RANKING_TTL_MS) {
      this.rankedAt = now;
      this.cachedRanking = this.buildRanking();
    }
    return this.cachedRanking;
  }

  private shouldWatch(): boolean {
    const { published: { ageMs }, mayBootstrapFromPeers: hasOthersFirst } =
      this.options;
    const runsForMs = readClock() - this.startedAt;
    const mayGetCopy = runsForMs < this.peerBootstrapWaitMs && hasOthersFirst();
    if (ageMs === Infinity && mayGetCopy) return false;
    const isStarting = runsForMs < STARTUP_GRACE_MS;
    const hearsOthers = this.options.getLiveHosts().length > 0;
    if (isStarting && hearsOthers && ageMs < STARTUP_GRACE_MS) return false;
    return this.ranking.isNeeded(ageMs);
  }

  private buildRanking(): WatchOrder {
    const staying = this.options.getLiveHosts().filter((host) =>
      host.entry.phase !== "draining"
    ).map((host) => host.entry.id);
    return WatchOrder.create(this.options.getHostId(), staying);
  }
}
