import { rankByRendezvous } from "../hashing/rendezvous.ts";
import type { Logger } from "../logging/logger.ts";
import type { KnownHost } from "../peers/host_table.ts";
import { FeedWatcher } from "../published/feed_watcher.ts";
import type { PublicationFeed } from "../published/publication_feed.ts";
import type { PublicationKeeper } from "../published/publication_keeper.ts";

/** Hosts of a fleet that watch the platform; the others hear from them. */
const WATCHERS = 3;
/** Longest wait of one watch, in milliseconds; what is known looks as old as that where nothing changes. */
const WATCH_MS = 1_000;
/** Age of what is known at which a host watches although others are to, in milliseconds: beyond what a watcher's word
 * has on its way, two waits and two rounds of gossip. */
const SELF_WATCH_AGE_MS = 2_600;
/** Pause after a failed read of the platform, in milliseconds; drawn between half and one and a half of it. */
const RETRY_MS = 200;
/** Interval at which a host that does not watch looks whether it should, in milliseconds. */
const IDLE_CHECK_MS = 100;
/** What the watch needs of the gateway. */
export interface PublicationWatchOptions {
  logger: Logger;
  feed: PublicationFeed;
  keeper: PublicationKeeper;
  /** Name of this host in the settings in force. */
  getHostId: () => string;
  /** Other hosts that are heard. */
  getLiveHosts: () => readonly KnownHost[];
}

/** A host's part in watching the platform: whether it is one of the hosts that watch. */
export class PublicationWatch {
  private readonly watcher: FeedWatcher;

  private constructor(private readonly options: PublicationWatchOptions) {
    const { feed, keeper, logger } = options;
    this.watcher = FeedWatcher.create({
      feed,
      keeper,
      logger,
      watchMs: WATCH_MS,
      retryMs: RETRY_MS,
      idleCheckMs: IDLE_CHECK_MS,
      isNeeded: () => this.isNeeded(),
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

  private isNeeded(): boolean {
    const { keeper, getLiveHosts } = this.options;
    if (keeper.ageMs > SELF_WATCH_AGE_MS) return true;
    const hostId = this.options.getHostId();
    const staying = getLiveHosts().filter((host) =>
      host.entry.phase !== "draining"
    ).map((host) => host.entry.id);
    const ranked = rankByRendezvous("watcher", [...staying, hostId]);
    return ranked.indexOf(hostId) < WATCHERS;
  }
}
