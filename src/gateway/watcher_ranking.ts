import { rankByRendezvous } from "../hashing/rendezvous.ts";

/** Number of hosts that always watch the platform; the others learn of changes from them. */
const WATCHER_COUNT = 3;
/** Maximum number of hosts that query the same host for its publication status, which is about 53 short datagrams a
 * second there. */
const MAX_POLLERS_PER_HOST = 32;
/** Number of hosts that a host queries in turn, so that a lost one only causes a delay. */
const MAX_SOURCES = 3;
/** Age of the publication at which backup hosts start to watch: more than an update takes from a watcher, which is two
 * watch timeouts and two gossip rounds. */
const BACKUP_AGE_MS = 2_600;
/** The same age if the watchers state that the platform does not respond to them, since it may respond to others. */
const OUTAGE_BACKUP_AGE_MS = 1_500;
/** Number of hosts at the start of the ranking that a host whose publication is late queries as well: the watchers and
 * those that replace them first. */
const LATE_SOURCES = 6;
/** Interval after which the number of watching hosts doubles. Keys are accepted up to an age of about four seconds. */
const BACKUP_DOUBLING_INTERVAL_MS = 400;
/** Maximum number of hosts that watch at once if none gets a response. A host that hears none of them ranks first in
 * its own ranking. */
const MAX_CONCURRENT_WATCHERS = 24;

/** Ranks the hosts of the fleet to decide which of them watch the platform, and which hosts the others query. Hosts
 * with the same live hosts compute the same ranking. */
export class WatcherRanking {
  private constructor(
    private readonly ranked: readonly string[],
    private readonly rank: number,
  ) {}

  /** Computes the ranking.
   * @param hostId Id of this host.
   * @param others Ids of the other live hosts that are not draining. */
  static create(hostId: string, others: readonly string[]): WatcherRanking {
    const ranked = rankByRendezvous("watcher", [...others, hostId]);
    return new WatcherRanking(ranked, ranked.indexOf(hostId));
  }

  /** Whether this host is among the first in the ranking, which always watch. */
  get isWatcher(): boolean {
    return this.rank < WATCHER_COUNT;
  }

  /** Whether this host should watch now: the first hosts always do, and if their updates fail to arrive, twice as many
   * hosts in each interval.
   * @param ageMs Age of this host's publication in milliseconds; infinite if it has none.
   * @param isPlatformUnavailable Whether the platform is known not to respond to the watchers. */
  shouldWatch(ageMs: number, isPlatformUnavailable = false): boolean {
    if (this.isWatcher || ageMs === Infinity) return true;
    const backupAgeMs = isPlatformUnavailable
      ? OUTAGE_BACKUP_AGE_MS
      : BACKUP_AGE_MS;
    if (ageMs < backupAgeMs) return false;
    const steps = 1 +
      Math.floor((ageMs - backupAgeMs) / BACKUP_DOUBLING_INTERVAL_MS);
    return this.rank <
      Math.min(MAX_CONCURRENT_WATCHERS, WATCHER_COUNT * 2 ** steps);
  }

  /** Returns the hosts that this host queries while its publication is late: its sources, and the first of the ranking,
   * which read the platform themselves by then. */
  getLateSources(): string[] {
    const first = this.ranked.filter((_id, rank) =>
      rank < LATE_SOURCES && rank !== this.rank
    );
    return [...new Set([...this.getSources(), ...first])];
  }

  /** Returns the hosts that this host queries for their publication status: watchers, or in a large fleet hosts that
   * query them. */
  getSources(): string[] {
    if (this.isWatcher) return [];
    // The ranking is split into levels, of which each queries the one before: the level to query has `levelSize` hosts
    // from rank `levelStart` on. The watchers are the first level.
    let levelStart = 0;
    let levelSize = WATCHER_COUNT;
    while (
      this.rank >= levelStart + levelSize + levelSize * MAX_POLLERS_PER_HOST
    ) {
      levelStart += levelSize;
      levelSize *= MAX_POLLERS_PER_HOST;
    }
    const offset = this.rank - levelStart - levelSize;
    const count = Math.min(MAX_SOURCES, levelSize);
    return Array.from(
      { length: count },
      (_, index) => this.ranked[levelStart + (offset + index) % levelSize]!,
    );
  }
}
