import { hashText } from "../hashing/hasher.ts";
import type { PeerEntry } from "./gossip_schema.ts";
import type { LoadReport } from "./load_report.ts";
import { type HostRumour, type HostStatus, overrides } from "./host_rumour.ts";
import type { HostState, KnownHost } from "./known_host.ts";

/** Maximum number of other hosts for all-to-all gossip in every round. */
export const SMALL_FLEET_MAX_HOSTS = 12;

/** Time without contact after which a host of a small fleet is not considered live, in milliseconds: three gossip
 * rounds. */
const LIVENESS_TIMEOUT_MS = 700;
/** Time without contact to any host after which this host considers none live in a large fleet, in milliseconds. */
const ISOLATION_TIMEOUT_MS = 2_400;
/** Time from the suspicion of a host until it is declared failed, in milliseconds; the host may refute it until
 * then. */
export const SUSPICION_MS = 750;
/** Time after which an unreachable host is removed from the table, in milliseconds; longer than a host takes to
 * return to the fleet. */
const UNREACHABLE_RETENTION_MS = 60_000;

/** Called when a host is learned by gossip, has a new incarnation or changes its status. */
export type OnMembershipChange = (host: KnownHost) => void;

/** Table of the other known hosts. In a small fleet the hosts with a recent contact are considered live; in a large one
 * all that the failure detectors of the fleet have not declared failed. */
export class HostTable {
  private readonly hosts = new Map<string, KnownHost>();
  private readonly byName = new Map<number, KnownHost>();
  private readonly ownName: number;
  /** Monotonic milliseconds of the last contact with any host. */
  private lastContactAt = -Infinity;
  /** Cached live hosts of a large fleet; undefined after a change. */
  private cachedLive: KnownHost[] | undefined;
  /** Cached digest of the hosts that have not failed; undefined after a change. */
  private liveDigest: number | undefined;

  private constructor(
    private readonly ownAddress: string,
    private readonly onMembershipChange: OnMembershipChange,
  ) {
    this.ownName = hashText(ownAddress);
  }

  /** Creates an empty table.
   * @param ownAddress Gossip address of this host, which is never in the table.
   * @param onMembershipChange Called when a host is learned by gossip, has a new incarnation or changes its status. */
  static create(
    ownAddress: string,
    onMembershipChange: OnMembershipChange = () => undefined,
  ): HostTable {
    return new HostTable(ownAddress, onMembershipChange);
  }

  /** Whether there are too many hosts for all-to-all gossip in every round. */
  get isLarge(): boolean {
    return this.hosts.size > SMALL_FLEET_MAX_HOSTS;
  }

  /** Number of known hosts. */
  get size(): number {
    return this.hosts.size;
  }

  /** All known hosts. */
  getAll(): KnownHost[] {
    return [...this.hosts.values()];
  }

  /** Returns a host, if known.
   * @param gossipAddress Its gossip address. */
  getHost(gossipAddress: string): KnownHost | undefined {
    return this.hosts.get(gossipAddress);
  }

  /** Returns a host, if known.
   * @param name Hash of its gossip address. */
  findByName(name: number): KnownHost | undefined {
    return this.byName.get(name);
  }

  /** Returns the hosts that are considered live.
   * @param now Monotonic milliseconds. */
  getLive(now: number): readonly KnownHost[] {
    if (!this.isLarge) {
      return this.getAll().filter((host) => this.isLive(host, now));
    }
    if (this.isIsolated(now)) return [];
    this.cachedLive ??= this.getAll().filter((host) =>
      host.status !== "failed"
    );
    return this.cachedLive;
  }

  /** Counts the hosts that are not considered live, but were at some time since another one.
   * @param since Monotonic milliseconds.
   * @param now Monotonic milliseconds. */
  countLostSince(since: number, now: number): number {
    return this.getAll().filter((host) =>
      !this.isLive(host, now) &&
      Math.max(host.lastSeenAt, host.statusSince) > since
    ).length;
  }

  /** Whether a host is considered live.
   * @param host The host.
   * @param now Monotonic milliseconds. */
  isLive(host: KnownHost, now: number): boolean {
    if (!this.isLarge) return now - host.lastSeenAt <= LIVENESS_TIMEOUT_MS;
    return host.status !== "failed" && !this.isIsolated(now);
  }

  /** Computes a digest of the incarnations that are considered live, this host's included; it is equal on two hosts
   * that consider the same incarnations live.
   * @param ownIncarnation Incarnation of this host. */
  computeDigest(ownIncarnation: number): number {
    this.liveDigest ??= this.getAll().filter(({ status }) =>
      status !== "failed"
    ).reduce(
      (digest, { name, entry }) =>
        digest ^ hashIncarnation(name, entry.incarnation),
      0,
    );
    const own = hashIncarnation(this.ownName, ownIncarnation);
    return (this.liveDigest ^ own) >>> 0;
  }

  /** Applies an entry that the host itself sent.
   * @param entry The entry.
   * @param sentAt Monotonic milliseconds of the host's clock when it sent the entry.
   * @param now Monotonic milliseconds.
   * @returns Whether the entry is new, rather than overtaken by a later datagram. */
  applyDirectEntry(entry: PeerEntry, sentAt: number, now: number): boolean {
    if (entry.gossipAddress === this.ownAddress) return false;
    this.lastContactAt = now;
    const known = this.hosts.get(entry.gossipAddress);
    if (!known || entry.incarnation > known.entry.incarnation) {
      this.onMembershipChange(this.markAlive(entry, now, sentAt));
      return true;
    }
    if (entry.incarnation < known.entry.incarnation) return false;
    const isOutdated = known.entry.sequence >= entry.sequence &&
      known.lastRemoteSentAt !== undefined && known.lastRemoteSentAt >= sentAt;
    if (isOutdated) return false;
    known.entry = entry;
    known.lastSeenAt = now;
    known.lastRemoteSentAt = sentAt;
    return true;
  }

  /** Applies an entry that another host relayed.
   * @param entry The entry.
   * @param lastSeenAt Monotonic milliseconds at which the host had sent it.
   * @returns Whether the entry is new. */
  applyRelayedEntry(entry: PeerEntry, lastSeenAt: number): boolean {
    if (entry.gossipAddress === this.ownAddress) return false;
    const known = this.hosts.get(entry.gossipAddress);
    if (!known || entry.incarnation > known.entry.incarnation) {
      this.onMembershipChange(this.markAlive(entry, lastSeenAt, undefined));
      return true;
    }
    const isNewer = entry.incarnation === known.entry.incarnation &&
      entry.sequence > known.entry.sequence;
    if (!isNewer) return false;
    known.entry = entry;
    known.lastSeenAt = Math.max(known.lastSeenAt, lastSeenAt);
    return true;
  }

  /** Applies a report of a host's in-flight requests that another host relayed.
   * @param report The report.
   * @param now Monotonic milliseconds.
   * @returns The host, if the report is new. */
  applyLoadReport(report: LoadReport, now: number): KnownHost | undefined {
    const known = this.byName.get(report.name);
    const { incarnation, sequence, agoMs, loads } = report;
    if (!known || known.entry.incarnation !== incarnation) return undefined;
    if (sequence <= known.entry.sequence) return undefined;
    known.entry = { ...known.entry, sequence, loads };
    known.lastSeenAt = Math.max(known.lastSeenAt, now - Math.max(0, agoMs));
    return known;
  }

  /** Records a contact with a host.
   * @param address Its gossip address.
   * @param seenAt Monotonic milliseconds of the contact. */
  recordContact(address: string, seenAt: number): void {
    this.lastContactAt = Math.max(this.lastContactAt, seenAt);
    const known = this.hosts.get(address);
    if (known && known.lastSeenAt < seenAt) known.lastSeenAt = seenAt;
  }

  /** Applies a membership update from another host.
   * @param rumour The update.
   * @param now Monotonic milliseconds.
   * @returns Whether the host is in the table. */
  applyRumour(rumour: HostRumour, now: number): boolean {
    const known = this.byName.get(rumour.name);
    if (!known) return false;
    const { incarnation, status, phase } = rumour;
    const isNewer = incarnation > known.entry.incarnation ||
      (incarnation === known.entry.incarnation &&
        overrides(status, known.status));
    if (!isNewer) return true;
    known.entry = { ...known.entry, incarnation, phase };
    this.changeStatus(known, status, now - rumour.agoMs);
    return true;
  }

  /** Marks a host as suspect that did not acknowledge probes.
   * @param host The host.
   * @param now Monotonic milliseconds. */
  suspect(host: KnownHost, now: number): void {
    if (host.status === "alive") this.changeStatus(host, "suspect", now);
  }

  /** Declares a suspected host failed, unless it has refuted the suspicion.
   * @param host The host.
   * @param since Monotonic milliseconds at which the suspicion began. */
  expireSuspicion(host: KnownHost, since: number): void {
    const isCurrent = host.status === "suspect" && host.statusSince === since;
    if (isCurrent) this.changeStatus(host, "failed", since + SUSPICION_MS);
  }

  /** Builds the membership update about a host for dissemination.
   * @param host The host.
   * @param now Monotonic milliseconds. */
  buildRumour(host: KnownHost, now: number): HostRumour {
    const { name, entry: { incarnation, phase }, status, statusSince } = host;
    return { name, incarnation, status, phase, agoMs: now - statusSince };
  }

  /** Returns the state of all known hosts, for a host that lacks some.
   * @param now Monotonic milliseconds. */
  getStates(now: number): HostState[] {
    return this.getAll().map(({ entry, status, lastSeenAt }) => ({
      entry,
      status,
      agoMs: now - lastSeenAt,
    }));
  }

  /** Merges the host table of another host. A host that has failed there is only suspected here, since after a
   * partition both sides consider live hosts failed. New hosts are not disseminated, since other hosts pull them too.
   * @param states States of the hosts in that table.
   * @param now Monotonic milliseconds.
   * @returns The hosts that are new to this table. */
  mergeStates(states: readonly HostState[], now: number): KnownHost[] {
    return states.flatMap((state) => this.mergeState(state, now) ?? []);
  }

  /** Removes the hosts that have been unreachable for longer than the retention time.
   * @param now Monotonic milliseconds. */
  removeExpired(now: number): void {
    for (const [address, host] of this.hosts) {
      if (this.isLarge && host.status !== "failed") continue;
      const unreachableSince = Math.max(host.lastSeenAt, host.statusSince);
      if (now - unreachableSince <= UNREACHABLE_RETENTION_MS) continue;
      this.hosts.delete(address);
      this.byName.delete(host.name);
      this.cachedLive = undefined;
      this.liveDigest = undefined;
    }
  }

  private mergeState(state: HostState, now: number): KnownHost | undefined {
    const { entry, status, agoMs } = state;
    if (entry.gossipAddress === this.ownAddress) return undefined;
    const lastSeenAt = now - Math.max(0, agoMs);
    const known = this.hosts.get(entry.gossipAddress);
    if (!known && status === "failed") return undefined;
    if (!known) return this.markAlive(entry, lastSeenAt, undefined);
    this.applyRelayedEntry(entry, lastSeenAt);
    const isSameIncarnation = known.entry.incarnation === entry.incarnation;
    if (status !== "alive" && isSameIncarnation) this.suspect(known, now);
    return undefined;
  }

  private isIsolated(now: number): boolean {
    return now - this.lastContactAt > ISOLATION_TIMEOUT_MS;
  }

  private markAlive(
    entry: PeerEntry,
    lastSeenAt: number,
    lastRemoteSentAt: number | undefined,
  ): KnownHost {
    const address = entry.gossipAddress;
    const host: KnownHost = this.hosts.get(address) ?? {
      entry,
      name: hashText(address),
      lastSeenAt,
      lastRemoteSentAt,
      status: "alive",
      statusSince: lastSeenAt,
    };
    Object.assign(host, { entry, lastSeenAt, lastRemoteSentAt });
    this.hosts.set(address, host);
    this.byName.set(host.name, host);
    this.setStatus(host, "alive", lastSeenAt);
    return host;
  }

  private changeStatus(
    host: KnownHost,
    status: HostStatus,
    since: number,
  ): void {
    this.setStatus(host, status, since);
    this.onMembershipChange(host);
  }

  private setStatus(host: KnownHost, status: HostStatus, since: number): void {
    host.status = status;
    host.statusSince = since;
    this.cachedLive = undefined;
    this.liveDigest = undefined;
  }
}

function hashIncarnation(name: number, incarnation: number): number {
  return hashText(String(incarnation), name);
}
