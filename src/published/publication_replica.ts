import { readClock } from "../clock/clock.ts";
import type { Logger } from "../logging/logger.ts";
import type { PublishedConfiguration } from "./configuration_schema.ts";
import type { EvacuationChange } from "./evacuation_change.ts";
import { FreshnessTracker } from "./freshness_tracker.ts";
import { getEra, getRevision } from "./position.ts";
import { logUpstreamChanges } from "./log_upstream_changes.ts";
import { PlatformOutage } from "./platform_outage.ts";
import { type MergeResult, Publication } from "./publication.ts";
import type {
  PublicationChanges,
  PublicationSnapshot,
  UpstreamChange,
} from "./publication_feed.ts";
import { RouteTable } from "./route_table.ts";

/** Age of the known data, in milliseconds, from which an outage of the platform is assumed. It is above the age that is
 * reached while a host of the fleet reads the platform, and below the three missed heartbeats after which entries
 * lapse. */
const OUTAGE_AGE_MS = 2_200;
/** Time after an outage during which a missing entry may only have lapsed, in milliseconds: lapsed entries are
 * published again within two seconds, and a margin is added. */
const LAPSE_GRACE_MS = 2_200;

/** Dependencies and listeners of the replica. */
export interface PublicationReplicaOptions {
  logger: Logger;
  /** Called with the routes of each newer configuration. */
  onConfiguration: (table: RouteTable) => void;
  /** Called with each era of the platform that is new here. */
  onNewEra: (era: number) => void;
  /** Called with the changes of upstreams that were not known before. */
  onUpstreamChanges: (changes: readonly UpstreamChange[]) => void;
  /** Called with the halls to be evacuated after each change of them. */
  onEvacuations: (halls: readonly string[]) => void;
  /** Called when upstreams may have come and gone unnoticed: before the first publication, and before a snapshot that
   * replaces old data or belongs to a new era. */
  onObservationGap: (isFirst: boolean) => void;
  /** Called when more may be known: of the publication, or of whether the platform responds. */
  onConfirmed?: () => void;
}

/** State that hosts send to each other: everything they know, or what changed after a position. */
export interface PublicationState {
  configuration: PublishedConfiguration | undefined;
  changes: UpstreamChange[];
  /** The last known change of each hall's evacuation. */
  evacuations: EvacuationChange[];
  /** Position up to which the sender misses no change. */
  completeUpTo: number;
  /** Age of the sender's data when it was sent, in milliseconds. */
  ageMs: number;
  /** Remaining time in which entries that are missing there may only have lapsed in an outage of the platform, in
   * milliseconds. */
  lapseMs: number;
}

/** This host's replica of the published data. It merges updates from the platform and from peers, and notifies its
 * listeners of changes. */
export class PublicationReplica {
  private readonly publication = Publication.create();
  private readonly freshness = FreshnessTracker.create();
  private readonly outage = PlatformOutage.create();
  private routeTable: RouteTable | undefined;
  private recoveredAt = -Infinity;

  private constructor(private readonly options: PublicationReplicaOptions) {}

  /** Creates an empty replica.
   * @param options Dependencies and listeners. */
  static create(options: PublicationReplicaOptions): PublicationReplica {
    return new PublicationReplica(options);
  }

  /** The routes in force; undefined before the first configuration. */
  get routes(): RouteTable | undefined {
    return this.routeTable;
  }

  /** Highest position of all merged changes. */
  get revision(): number {
    return this.publication.revision;
  }

  /** Position up to which no change is missing here. */
  get completeUpTo(): number {
    return this.publication.completeUpTo;
  }

  /** Digest that is equal on processes that know the same configuration version and the same upstream changes. */
  get digest(): number {
    return this.publication.digest;
  }

  /** Age of the known data in milliseconds: everything that was published at least this long ago is known here. */
  get ageMs(): number {
    return this.freshness.getAge(readClock());
  }

  /** Whether the known data is as recent as it is while a host of the fleet reads the platform. */
  get isRecent(): boolean {
    return this.ageMs < OUTAGE_AGE_MS;
  }

  /** Whether the platform is known not to respond, so that nothing newer can be learned. */
  get isPlatformUnavailable(): boolean {
    return this.outage.isObserved(readClock());
  }

  /** Monotonic milliseconds until which a missing entry may only have lapsed while the platform was unavailable. */
  get lapseEndsAt(): number {
    return this.recoveredAt + LAPSE_GRACE_MS;
  }

  /** Returns the known state, to be sent to a peer.
   * @param after Position up to which the peer misses nothing; 0 for all. */
  getState(after = 0): PublicationState {
    return {
      configuration: this.publication.configuration,
      changes: this.publication.getChanges(after),
      evacuations: this.publication.getEvacuationChanges(),
      completeUpTo: this.publication.completeUpTo,
      ageMs: this.ageMs,
      lapseMs: Math.max(0, this.lapseEndsAt - readClock()),
    };
  }

  /** Merges a snapshot of the platform.
   * @param snapshot The snapshot.
   * @param requestedAt Monotonic milliseconds at which it was requested. */
  applySnapshot(snapshot: PublicationSnapshot, requestedAt: number): void {
    const { revision, configuration, upstreams } = snapshot;
    this.detectObservationGap(!this.isRecent);
    this.detectOutageEnd(requestedAt);
    this.detectNewEra(revision, "snapshot");
    const now = readClock();
    this.handleMergeResult(
      this.publication.mergeSnapshot(revision, configuration, upstreams, now),
      "snapshot",
    );
    this.handleEvacuations(
      this.publication.mergeEvacuationList(revision, snapshot.evacuations),
      "snapshot",
    );
    this.publication.markCompleteUpTo(revision);
    this.outage.recordResponse();
    this.confirm(requestedAt);
  }

  /** Merges changes that a watch returned.
   * @param changes All changes after a position up to which none was missing.
   * @param completeUntil Monotonic milliseconds up to which the watch is certain to have returned every change. */
  applyChanges(changes: PublicationChanges, completeUntil: number): void {
    const { configuration, upstreams } = changes;
    this.detectOutageEnd(completeUntil);
    this.handleMergeResult(
      this.publication.merge(configuration, upstreams, readClock()),
      "watch",
    );
    this.handleEvacuations(
      this.publication.mergeEvacuations(changes.evacuations),
      "watch",
    );
    this.publication.markCompleteUpTo(changes.revision);
    this.outage.recordResponse();
    this.confirm(completeUntil);
  }

  /** Records that the platform did not respond to this host, or to one that knows no less.
   * @param moment Monotonic milliseconds at which that was so. */
  recordOutage(moment: number): void {
    this.outage.recordFailure(moment);
    this.options.onConfirmed?.();
  }

  /** Records that the platform has responded to a host from which this one does not know everything yet. */
  recordFresherHost(): void {
    this.outage.recordResponse();
  }

  /** Merges the state of a peer.
   * @param state Everything the peer knows, or all changes after a position up to which nothing is missing here.
   * @param peerId Id of the peer.
   * @param requestedAt Monotonic milliseconds at which the state was requested. */
  applyPeerState(
    state: PublicationState,
    peerId: string,
    requestedAt: number,
  ): void {
    const source = `peer ${peerId}`;
    this.detectObservationGap(this.hasMissedUpstreams(state));
    this.adoptLapse(state.lapseMs);
    this.detectNewEra(state.completeUpTo, source);
    this.handleEvacuations(this.mergePeerEvacuations(state), source);
    this.handleMergeResult(
      this.publication.mergePeerState(
        state.completeUpTo,
        state.configuration,
        state.changes,
        readClock(),
      ),
      source,
    );
    this.publication.markCompleteUpTo(state.completeUpTo);
    this.confirm(requestedAt - state.ageMs);
  }

  /** Adopts the age of a peer's data if the peer knows the same as this host. A different digest has no effect.
   * @param digest Digest of the peer.
   * @param moment Monotonic milliseconds of this process up to which the peer knows everything. */
  confirmFreshness(digest: number, moment: number): void {
    if (digest !== this.digest) return;
    this.confirm(moment);
  }

  private confirm(moment: number): void {
    this.freshness.confirm(moment);
    this.options.onConfirmed?.();
  }

  /** Whether a peer has known an upstream that came and went while the data known here was old. */
  private hasMissedUpstreams({ changes }: PublicationState): boolean {
    return !this.isRecent &&
      changes.some(({ id, upstream }) =>
        upstream === undefined && !this.publication.isKnown(id)
      );
  }

  /** Reports a gap in the observation of upstreams before the first publication, and where changes were missed. */
  private detectObservationGap(hasMissedChanges: boolean): void {
    const isFirst = this.publication.completeUpTo === 0;
    if (isFirst || hasMissedChanges) this.options.onObservationGap(isFirst);
  }

  /** Adopts the time in which a peer takes missing entries for lapsed. That the data known here is old does not show an
   * outage: this host may have been cut off or late itself.
   * @param lapseMs Remaining time in milliseconds. */
  private adoptLapse(lapseMs: number): void {
    const remainingMs = Math.min(lapseMs, LAPSE_GRACE_MS);
    const recoveredAt = readClock() + remainingMs - LAPSE_GRACE_MS;
    if (remainingMs > 0) {
      this.recoveredAt = Math.max(this.recoveredAt, recoveredAt);
    }
  }

  /** Detects the end of an outage in a response of the platform: the received data is recent while the known data is
   * old, and the platform has not responded meanwhile.
   * @param moment Monotonic milliseconds up to which everything is known now. */
  private detectOutageEnd(moment: number): void {
    const { ageMs } = this;
    const isRecent = readClock() - moment < OUTAGE_AGE_MS;
    if (!isRecent || ageMs < OUTAGE_AGE_MS || !Number.isFinite(ageMs)) return;
    if (!this.outage.hasFailedSince(readClock() - ageMs)) return;
    this.recoveredAt = readClock();
    this.options.logger.info(
      { ageMs: Math.round(ageMs) },
      "publication_regained",
    );
  }

  /** Detects a new era, that is, a restore of the platform. Missing entries may then only be waiting to be published
   * again. */
  private detectNewEra(position: number, source: string): void {
    const { era, completeUpTo } = this.publication;
    const newEra = getEra(position);
    if (newEra <= era) return;
    this.options.onNewEra(newEra);
    if (completeUpTo === 0) return;
    this.recoveredAt = readClock();
    this.options.onObservationGap(false);
    this.options.logger.warn({
      era: newEra,
      revision: getRevision(position),
      eraBefore: era,
      revisionBefore: getRevision(completeUpTo),
      source,
    }, "publication_restored");
  }

  /** Merges a peer's evacuations. Those of an earlier era that the peer does not know are withdrawn if its era is new
   * here. */
  private mergePeerEvacuations(
    { completeUpTo, evacuations }: PublicationState,
  ): EvacuationChange[] {
    return getEra(completeUpTo) > this.publication.era
      ? this.publication.mergeEvacuationList(completeUpTo, evacuations)
      : this.publication.mergeEvacuations(evacuations);
  }

  private handleEvacuations(
    changes: readonly EvacuationChange[],
    source: string,
  ): void {
    if (changes.length === 0) return;
    for (const { hall, revision, isActive } of changes) {
      this.options.logger.warn({
        hall,
        evacuated: isActive,
        era: getEra(revision),
        revision: getRevision(revision),
        source,
      }, "evacuation_changed");
    }
    this.options.onEvacuations(this.publication.evacuatedHalls);
  }

  private handleMergeResult(result: MergeResult, source: string): void {
    if (result.hasNewConfiguration) this.applyConfiguration(source);
    if (result.changes.length === 0) return;
    logUpstreamChanges(this.options.logger, result.changes, source);
    this.options.onUpstreamChanges(result.changes);
  }

  private applyConfiguration(source: string): void {
    const before = this.routeTable?.version;
    this.routeTable = RouteTable.create(this.publication.configuration!);
    const { version } = this.routeTable;
    this.options.logger.info(
      { version, before, source },
      "configuration_in_force",
    );
    this.options.onConfiguration(this.routeTable);
  }
}
