import { rankByRendezvous } from "../hashing/rendezvous.ts";

/** Hosts of a fleet that watch the platform; the others hear from them. */
const WATCHER_COUNT = 3;
/** Hosts that ask one and the same host for the age of what it knows; some 53 short datagrams a second there. */
const MAX_POLLERS_PER_HOST = 32;
/** Hosts that one host asks in turn, so that one that is lost delays it only. */
const MAX_SOURCES = 3;
/** Age of what is known at which others watch too, in milliseconds: beyond what a watcher's word has on its way, two
 * waits of a watch and two rounds of gossip. */
const BACKUP_AGE_MS = 2_600;
/** Time after which twice as many hosts watch, in milliseconds; keys are honoured up to some four seconds. */
const BACKUP_DOUBLING_INTERVAL_MS = 400;
/** Most hosts that watch together where none has an answer; a host that hears none of them is first in its own order. */
const MAX_CONCURRENT_WATCHERS = 24;

/** Which hosts watch the platform, and whom the others ask: an order that all hosts which hear the same have alike. */
export class WatchOrder {
  private constructor(
    private readonly ranked: readonly string[],
    private readonly rank: number,
  ) {}

  /** Works out the order.
   * @param hostId This host.
   * @param others The other hosts that are heard and stay. */
  static create(hostId: string, others: readonly string[]): WatchOrder {
    const ranked = rankByRendezvous("watcher", [...others, hostId]);
    return new WatchOrder(ranked, ranked.indexOf(hostId));
  }

  /** Whether this host is among the first, who watch always. */
  get isWatcher(): boolean {
    return this.rank < WATCHER_COUNT;
  }

  /** Whether this host watches now: the first do, and where their word does not come twice as many in each step.
   * @param ageMs Age of what this host knows, in milliseconds; infinite where it knows nothing. */
  isNeeded(ageMs: number): boolean {
    if (this.isWatcher || ageMs === Infinity) return true;
    if (ageMs < BACKUP_AGE_MS) return false;
    const steps = 1 +
      Math.floor((ageMs - BACKUP_AGE_MS) / BACKUP_DOUBLING_INTERVAL_MS);
    return this.rank <
      Math.min(MAX_CONCURRENT_WATCHERS, WATCHER_COUNT * 2 ** steps);
  }

  /** Hosts that this one asks for the age of what they know: watchers, or in a large fleet hosts that ask them. */
  getSources(): string[] {
    if (this.isWatcher) return [];
    // The hosts asked are `size` ones from `begin` on: the watchers for the next part of the order, those for the one after.
    let begin = 0;
    let size = WATCHER_COUNT;
    while (this.rank >= begin + size + size * MAX_POLLERS_PER_HOST) {
      begin += size;
      size *= MAX_POLLERS_PER_HOST;
    }
    const place = this.rank - begin - size;
    const count = Math.min(MAX_SOURCES, size);
    return Array.from(
      { length: count },
      (_, index) => this.ranked[begin + (place + index) % size]!,
    );
  }
}
