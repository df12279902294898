import { hashText } from "../hashing/hasher.ts";
import { HOST_PHASES, type PeerEntry } from "./gossip_schema.ts";

/** Hosts up to which all hear each other in each round. */
export const SMALL_FLEET = 12;

/** Time without word of a host after which it counts as lost in a small fleet, in milliseconds: three rounds of gossip. */
const LIVE_FOR_MS = 700;
/** The same in a large fleet, in milliseconds. Word of a host comes by at most three questions there, 0.6 seconds each, one of
 * which may be lost. */
const LARGE_LIVE_FOR_MS = 2_400;
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

/** That a host was heard: short name of its gossip address, milliseconds since, and the index of its phase then. */
export type HostSighting = [host: number, agoMs: number, phase: number];

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
    return this.getAll().filter((host) => this.isLive(host, now));
  }

  /** Whether a host was heard lately.
   * @param host The host.
   * @param now Monotonic milliseconds. */
  isLive(host: KnownHost, now: number): boolean {
    const isLarge = this.hosts.size > SMALL_FLEET;
    const liveForMs = isLarge ? LARGE_LIVE_FOR_MS : LIVE_FOR_MS;
    return now - host.heardAt <= liveForMs;
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
    const isSameStart = known?.entry.incarnation === entry.incarnation;
    this.hosts.set(entry.gossipAddress, {
      ...(known && isSameStart
        ? mergeOlder(entry, heardAt, known)
        : { entry, heardAt }),
      lastSentAt: isSameStart ? known.lastSentAt : undefined,
    });
    return true;
  }

  /** Notes that a known host was heard, without all that it tells of itself.
   * @param address Its gossip address.
   * @param phase Index of its phase; undefined where it did not tell.
   * @param heardAt Monotonic milliseconds at which it was heard. */
  noteHeard(
    address: string,
    phase: number | undefined,
    heardAt: number,
  ): void {
    const known = this.hosts.get(address);
    if (!known || known.heardAt >= heardAt) return;
    known.heardAt = heardAt;
    const newPhase = phase === undefined ? undefined : HOST_PHASES[phase];
    if (newPhase === undefined || newPhase === known.entry.phase) return;
    known.entry = { ...known.entry, phase: newPhase };
  }

  /** The hosts heard lately, for another host; those heard last where there are many.
   * @param limit Most hosts.
   * @param now Monotonic milliseconds. */
  getSightings(limit: number, now: number): HostSighting[] {
    const live = this.getLive(now).sort((a, b) => b.heardAt - a.heardAt);
    return live.slice(0, limit).map(({ entry, heardAt }) => [
      hashText(entry.gossipAddress),
      Math.round(now - heardAt),
      HOST_PHASES.indexOf(entry.phase),
    ]);
  }

  /** Takes another host's word on whom it heard; returns the short names of those that are not known here.
   * @param sightings What it heard.
   * @param toldAfter Monotonic milliseconds of a moment before it told this. */
  takeSightings(
    sightings: readonly HostSighting[],
    toldAfter: number,
  ): number[] {
    const byName = this.getAddressesByName();
    const ownName = hashText(this.ownAddress);
    for (const [name, agoMs, phase] of sightings) {
      const address = byName.get(name);
      if (!address) continue;
      this.noteHeard(address, phase, toldAfter - Math.max(0, agoMs));
    }
    return sightings.map(([name]) => name).filter((name) =>
      name !== ownName && !byName.has(name)
    );
  }

  /** The hosts with some short names, as far as they are known.
   * @param names The short names. */
  getByNames(names: readonly number[]): KnownHost[] {
    const byName = this.getAddressesByName();
    return names.flatMap((name) =>
      this.hosts.get(byName.get(name) ?? "") ?? []
    );
  }

  /** Forgets the hosts that have not been heard for long.
   * @param now Monotonic milliseconds. */
  forget(now: number): void {
    for (const [address, { heardAt }] of this.hosts) {
      if (now - heardAt > REMEMBERED_MS) this.hosts.delete(address);
    }
  }

  private getAddressesByName(): Map<number, string> {
    return new Map(
      [...this.hosts.keys()].map((address) => [hashText(address), address]),
    );
  }
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

/** Another's word on the same start of a host: it may have more to tell than what is known here, and yet be older than
 * the last sighting, which then decides when the host was heard and in which phase. */
function mergeOlder(
  entry: PeerEntry,
  heardAt: number,
  known: KnownHost,
): Pick<KnownHost, "entry" | "heardAt"> {
  if (heardAt >= known.heardAt) return { entry, heardAt };
  const { phase } = known.entry;
  return { entry: { ...entry, phase }, heardAt: known.heardAt };
}
