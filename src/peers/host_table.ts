import type { PeerEntry } from "./gossip_schema.ts";

/** Time after which a host that is not heard is no longer told to callers, in milliseconds: three rounds of gossip and a
 * little. */
const LIVE_FOR_MS = 700;
/** Time after which a host that is not heard is forgotten, in milliseconds: longer than a host takes to come back. */
const REMEMBERED_MS = 60_000;
/** Silence after which another's word on a new start of a host is believed, in milliseconds. */
const RELAYED_START_MS = 1_000;

/** Another host as it was last heard of. */
export interface KnownHost {
  entry: PeerEntry;
  /** Monotonic milliseconds at which the host told this, as far as is known. */
  heardAt: number;
  /** The host's clock when it last wrote to this one, in its own monotonic milliseconds. */
  lastSentAt: number | undefined;
}

/** The other hosts that are known, from their own word or another's. */
export class HostTable {
  private readonly hosts = new Map<string, KnownHost>();

  private constructor(private readonly ownAddress: string) {}

  /** Creates an empty table.
   * @param ownAddress Gossip address of this host, which is never listed. */
  static create(ownAddress: string): HostTable {
    return new HostTable(ownAddress);
  }

  /** All known hosts. */
  getAll(): KnownHost[] {
    return [...this.hosts.values()];
  }

  /** Returns a host, or nothing.
   * @param gossipAddress Its gossip address. */
  getHost(gossipAddress: string): KnownHost | undefined {
    return this.hosts.get(gossipAddress);
  }

  /** The hosts heard lately.
   * @param now Monotonic milliseconds. */
  getLive(now: number): KnownHost[] {
    return this.getAll().filter((host) => isLive(host, now));
  }

  /** Takes a host's own word.
   * @param entry What it told.
   * @param sentAt Its clock when it told.
   * @param now Monotonic milliseconds.
   * @returns Whether this is news and not a datagram overtaken by a later one. */
  hear(entry: PeerEntry, sentAt: number, now: number): boolean {
    if (entry.gossipAddress === this.ownAddress) return false;
    const known = this.hosts.get(entry.gossipAddress);
    const isSameStart = known?.entry.incarnation === entry.incarnation;
    if (known && isSameStart && known.entry.sequence >= entry.sequence) {
      if (known.lastSentAt !== undefined && known.lastSentAt >= sentAt) {
        return false;
      }
    }
    this.hosts.set(entry.gossipAddress, {
      entry,
      heardAt: now,
      lastSentAt: sentAt,
    });
    return true;
  }

  /** Takes another host's word.
   * @param entry What a host had told.
   * @param heardAt Monotonic milliseconds at which it had told that.
   * @returns Whether this is news. */
  hearOf(entry: PeerEntry, heardAt: number): boolean {
    if (entry.gossipAddress === this.ownAddress) return false;
    const known = this.hosts.get(entry.gossipAddress);
    if (known && !isNewer(entry, heardAt, known)) return false;
    this.hosts.set(entry.gossipAddress, {
      entry,
      heardAt,
      lastSentAt: known?.entry.incarnation === entry.incarnation
        ? known.lastSentAt
        : undefined,
    });
    return true;
  }

  /** Forgets the hosts that have not been heard for long.
   * @param now Monotonic milliseconds. */
  forget(now: number): void {
    for (const [address, { heardAt }] of this.hosts) {
      if (now - heardAt > REMEMBERED_MS) this.hosts.delete(address);
    }
  }
}

/** Whether a host was heard lately.
 * @param host The host.
 * @param now Monotonic milliseconds. */
export function isLive(host: KnownHost, now: number): boolean {
  return now - host.heardAt <= LIVE_FOR_MS;
}

function isNewer(
  entry: PeerEntry,
  heardAt: number,
  known: KnownHost,
): boolean {
  if (entry.incarnation === known.entry.incarnation) {
    return entry.sequence > known.entry.sequence;
  }
  return heardAt > known.heardAt + RELAYED_START_MS;
}
