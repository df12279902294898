import { hashText } from "../hashing/hasher.ts";
import type { PeerEntry } from "./gossip_schema.ts";
import type { HostReport } from "./load_report.ts";
import { type HostRumour, type HostStatus, outweighs } from "./host_rumour.ts";
import type { HostState, KnownHost } from "./known_host.ts";

/** Hosts up to which all hear each other in each round. */
export const SMALL_FLEET = 12;

/** Silence after which a host counts as lost in a small fleet, in milliseconds: three rounds of gossip. */
const LIVE_FOR_MS = 700;
/** Silence of all hosts after which this one takes none of them for live in a large fleet, in milliseconds. */
const ISOLATED_AFTER_MS = 2_400;
/** Time from the suspicion of a host to its failure, in milliseconds, in which the host may refute it. */
export const SUSPICION_MS = 750;
/** Time after which a host that is lost is forgotten, in milliseconds: longer than a host takes to come back. */
const REMEMBERED_MS = 60_000;

/** Told of each host of which this one believes something new. */
export type OnBelief = (host: KnownHost) => void;

/** The known hosts and which of them are live: in a small fleet those seen lately, in a large one all that the fleet's failure
 * detectors have not declared failed. */
export class HostTable {
  private readonly hosts = new Map<string, KnownHost>();
  private readonly byName = new Map<number, KnownHost>();
  private readonly ownName: number;
  private lastHeardAt = -Infinity;
  private believedLive: KnownHost[] | undefined;
  /** Digest of the hosts that have not failed; undefined where that has changed. */
  private liveDigest: number | undefined;

  private constructor(
    private readonly ownAddress: string,
    private readonly onBelief: OnBelief,
  ) {
    this.ownName = hashText(ownAddress);
  }

  /** Creates an empty table.
   * @param ownAddress Gossip address of this host, which is never listed.
   * @param onBelief Told of each host of which this one believes something new. */
  static create(
    ownAddress: string,
    onBelief: OnBelief = () => undefined,
  ): HostTable {
    return new HostTable(ownAddress, onBelief);
  }

  /** Whether there are too many hosts for all-to-all gossip in every round. */
  get isLarge(): boolean {
    return this.hosts.size > SMALL_FLEET;
  }

  /** Number of known hosts. */
  get size(): number {
    return this.hosts.size;
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

  /** Returns a host, or nothing.
   * @param name Its short name. */
  findByName(name: number): KnownHost | undefined {
    return this.byName.get(name);
  }

  /** The hosts taken for live.
   * @param now Monotonic milliseconds. */
  getLive(now: number): readonly KnownHost[] {
    if (!this.isLarge) {
      return this.getAll().filter((host) => this.isLive(host, now));
    }
    if (this.isIsolated(now)) return [];
    this.believedLive ??= this.getAll().filter((host) =>
      host.status !== "failed"
    );
    return this.believedLive;
  }

  /** Whether a host is taken for live.
   * @param host The host.
   * @param now Monotonic milliseconds. */
  isLive(host: KnownHost, now: number): boolean {
    if (!this.isLarge) return now - host.heardAt <= LIVE_FOR_MS;
    return host.status !== "failed" && !this.isIsolated(now);
  }

  /** Number that is equal on two hosts that take the same starts of hosts for live, this one included.
   * @param ownIncarnation Incarnation of this host. */
  computeDigest(ownIncarnation: number): number {
    this.liveDigest ??= this.getAll().filter(({ status }) =>
      status !== "failed"
    ).reduce(
      (digest, { name, entry }) =>
        digest ^ digestBelief(name, entry.incarnation),
      0,
    );
    const own = digestBelief(this.ownName, ownIncarnation);
    return (this.liveDigest ^ own) >>> 0;
  }

  /** Takes what a host told of itself.
   * @param entry What it told.
   * @param sentAt Its clock when it told.
   * @param now Monotonic milliseconds.
   * @returns Whether this is news and not a datagram overtaken by a later one. */
  hear(entry: PeerEntry, sentAt: number, now: number): boolean {
    if (entry.gossipAddress === this.ownAddress) return false;
    this.lastHeardAt = now;
    const known = this.hosts.get(entry.gossipAddress);
    if (!known || entry.incarnation > known.entry.incarnation) {
      this.onBelief(this.believeAlive(entry, now, sentAt));
      return true;
    }
    if (entry.incarnation < known.entry.incarnation) return false;
    const isOvertaken = known.entry.sequence >= entry.sequence &&
      known.lastSentAt !== undefined && known.lastSentAt >= sentAt;
    if (isOvertaken) return false;
    known.entry = entry;
    known.heardAt = now;
    known.lastSentAt = sentAt;
    return true;
  }

  /** Takes what another host tells of a host.
   * @param entry What the host had told.
   * @param heardAt Monotonic milliseconds at which it had told that.
   * @returns Whether this is news. */
  hearOf(entry: PeerEntry, heardAt: number): boolean {
    if (entry.gossipAddress === this.ownAddress) return false;
    const known = this.hosts.get(entry.gossipAddress);
    if (!known || entry.incarnation > known.entry.incarnation) {
      this.onBelief(this.believeAlive(entry, heardAt, undefined));
      return true;
    }
    const isNewer = entry.incarnation === known.entry.incarnation &&
      entry.sequence > known.entry.sequence;
    if (!isNewer) return false;
    known.entry = entry;
    known.heardAt = Math.max(known.heardAt, heardAt);
    return true;
  }

  /** Takes another host's report of a host's requests.
   * @param report The report.
   * @param now Monotonic milliseconds.
   * @returns The host, where this is news. */
  hearReport(report: HostReport, now: number): KnownHost | undefined {
    const known = this.byName.get(report.name);
    const { incarnation, sequence, agoMs, loads } = report;
    if (!known || known.entry.incarnation !== incarnation) return undefined;
    if (sequence <= known.entry.sequence) return undefined;
    known.entry = { ...known.entry, sequence, loads };
    known.heardAt = Math.max(known.heardAt, now - Math.max(0, agoMs));
    return known;
  }

  /** Notes a sign of life of a host.
   * @param address Its gossip address.
   * @param heardAt Monotonic milliseconds at which it was heard. */
  noteHeard(address: string, heardAt: number): void {
    this.lastHeardAt = Math.max(this.lastHeardAt, heardAt);
    const known = this.hosts.get(address);
    if (known && known.heardAt < heardAt) known.heardAt = heardAt;
  }

  /** Merges what another host believes of a host.
   * @param rumour The belief.
   * @param now Monotonic milliseconds.
   * @returns Whether the host is known here. */
  applyRumour(rumour: HostRumour, now: number): boolean {
    const known = this.byName.get(rumour.name);
    if (!known) return false;
    const { incarnation, status, phase } = rumour;
    const isNewer = incarnation > known.entry.incarnation ||
      (incarnation === known.entry.incarnation &&
        outweighs(status, known.status));
    if (!isNewer) return true;
    known.entry = { ...known.entry, incarnation, phase };
    this.believe(known, status, now - rumour.agoMs);
    return true;
  }

  /** Suspects a host that did not answer probes.
   * @param host The host.
   * @param now Monotonic milliseconds. */
  suspect(host: KnownHost, now: number): void {
    if (host.status === "alive") this.believe(host, "suspect", now);
  }

  /** Takes a host for failed, unless its suspicion was refuted.
   * @param host The host.
   * @param since Monotonic milliseconds at which the suspicion began. */
  expireSuspicion(host: KnownHost, since: number): void {
    const isLasting = host.status === "suspect" && host.statusSince === since;
    if (isLasting) this.believe(host, "failed", since + SUSPICION_MS);
  }

  /** What this host believes of another, to be passed on.
   * @param host The other.
   * @param now Monotonic milliseconds. */
  describe(host: KnownHost, now: number): HostRumour {
    const { name, entry: { incarnation, phase }, status, statusSince } = host;
    return { name, incarnation, status, phase, agoMs: now - statusSince };
  }

  /** All known hosts, for another that lacks some.
   * @param now Monotonic milliseconds. */
  getStates(now: number): HostState[] {
    return this.getAll().map(({ entry, status, heardAt }) => ({
      entry,
      status,
      agoMs: now - heardAt,
    }));
  }

  /** Merges all that another host knows. A host that has failed there is suspected here first: after a partition both sides
   * hold hosts for failed that live. Hosts that are new here are not passed on, for others read them too.
   * @param states What it knows.
   * @param now Monotonic milliseconds.
   * @returns The hosts that are new here. */
  mergeStates(states: readonly HostState[], now: number): KnownHost[] {
    return states.flatMap((state) => this.mergeState(state, now) ?? []);
  }

  /** Forgets the hosts that have been lost for long.
   * @param now Monotonic milliseconds. */
  forget(now: number): void {
    for (const [address, host] of this.hosts) {
      if (this.isLarge && host.status !== "failed") continue;
      const lostAt = Math.max(host.heardAt, host.statusSince);
      if (now - lostAt <= REMEMBERED_MS) continue;
      this.hosts.delete(address);
      this.byName.delete(host.name);
      this.believedLive = undefined;
      this.liveDigest = undefined;
    }
  }

  private mergeState(state: HostState, now: number): KnownHost | undefined {
    const { entry, status, agoMs } = state;
    if (entry.gossipAddress === this.ownAddress) return undefined;
    const heardAt = now - Math.max(0, agoMs);
    const known = this.hosts.get(entry.gossipAddress);
    if (!known && status === "failed") return undefined;
    if (!known) return this.believeAlive(entry, heardAt, undefined);
    this.hearOf(entry, heardAt);
    const isSameStart = known.entry.incarnation === entry.incarnation;
    if (status !== "alive" && isSameStart) this.suspect(known, now);
    return undefined;
  }

  private isIsolated(now: number): boolean {
    return now - this.lastHeardAt > ISOLATED_AFTER_MS;
  }

  private believeAlive(
    entry: PeerEntry,
    heardAt: number,
    lastSentAt: number | undefined,
  ): KnownHost {
    const address = entry.gossipAddress;
    const host: KnownHost = this.hosts.get(address) ?? {
      entry,
      name: hashText(address),
      heardAt,
      lastSentAt,
      status: "alive",
      statusSince: heardAt,
    };
    Object.assign(host, { entry, heardAt, lastSentAt });
    this.hosts.set(address, host);
    this.byName.set(host.name, host);
    this.setStatus(host, "alive", heardAt);
    return host;
  }

  private believe(host: KnownHost, status: HostStatus, since: number): void {
    this.setStatus(host, status, since);
    this.onBelief(host);
  }

  private setStatus(host: KnownHost, status: HostStatus, since: number): void {
    host.status = status;
    host.statusSince = since;
    this.believedLive = undefined;
    this.liveDigest = undefined;
  }
}

function digestBelief(name: number, incarnation: number): number {
  return hashText(String(incarnation), name);
}
