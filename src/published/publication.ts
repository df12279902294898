import { hashText } from "../hashing/hasher.ts";
import type { PublishedConfiguration } from "./configuration_schema.ts";
import type { EvacuationChange } from "./evacuation_change.ts";
import { EvacuationRecords } from "./evacuation_records.ts";
import { createCorrectionPosition, getEra } from "./position.ts";
import type { UpstreamChange } from "./publication_feed.ts";
import { correctRestoredUpstream } from "./correct_restored_upstream.ts";
import type { PublishedUpstream } from "./upstream_schema.ts";

/** Time for which the record of a removed upstream (tombstone) is kept, so that no peer can re-add the upstream. */
const TOMBSTONE_TTL_MS = 120_000;

/** Last known change of an upstream. A record without an upstream is a tombstone. */
interface UpstreamRecord {
  revision: number;
  upstream: PublishedUpstream | undefined;
  /** The upstream as last published, even if it has been removed since. */
  last: PublishedUpstream | undefined;
  /** Monotonic milliseconds at which this process learned of the change. */
  learnedAt: number;
}

/** Effect of a merge. */
export interface MergeResult {
  /** Whether a newer configuration is in force now. */
  hasNewConfiguration: boolean;
  /** Changes of upstreams that were not known before. */
  changes: UpstreamChange[];
}

/** All published data that this process knows.
 * It keeps the highest version of the configuration and the highest position of each upstream, so merging
 * gives the same result in any order and never returns to an older state. */
export class Publication {
  private currentConfiguration: PublishedConfiguration | undefined;
  private readonly records = new Map<string, UpstreamRecord>();
  private readonly evacuationRecords = EvacuationRecords.create();
  private highestRevision = 0;
  private completePosition = 0;
  private digestSum = 0;

  private constructor() {}

  /** Creates an empty publication. */
  static create(): Publication {
    return new Publication();
  }

  /** The configuration in force; undefined before the first one is merged. */
  get configuration(): PublishedConfiguration | undefined {
    return this.currentConfiguration;
  }

  /** Highest position of all merged changes. */
  get revision(): number {
    return this.highestRevision;
  }

  /** Highest known era of the platform: the number of times it has been restored. */
  get era(): number {
    return getEra(this.completePosition);
  }

  /** Position up to which no change is missing here. */
  get completeUpTo(): number {
    return this.completePosition;
  }

  /** Digest that is equal on processes that know the same configuration version, the same upstream changes and the same
   * evacuations. */
  get digest(): number {
    const version = this.currentConfiguration?.version ?? 0;
    return (this.digestSum + this.evacuationRecords.digest + version) >>> 0;
  }

  /** Halls whose upstreams are to get no new requests. */
  get evacuatedHalls(): string[] {
    return this.evacuationRecords.getEvacuatedHalls();
  }

  /** Whether any change of an upstream is known.
   * @param id Id of the upstream. */
  isKnown(id: string): boolean {
    return this.records.has(id);
  }

  /** Records that no change up to a position is missing. */
  markCompleteUpTo(revision: number): void {
    this.completePosition = Math.max(this.completePosition, revision);
  }

  /** Merges a configuration and changes of upstreams.
   * @param configuration The configuration, if there is one.
   * @param changes The changes, in any order.
   * @param now Monotonic milliseconds. */
  merge(
    configuration: PublishedConfiguration | undefined,
    changes: readonly UpstreamChange[],
    now: number,
  ): MergeResult {
    const hasNewConfiguration = configuration !== undefined &&
      configuration.version > (this.currentConfiguration?.version ?? -Infinity);
    if (hasNewConfiguration) this.currentConfiguration = configuration;
    const newChanges = changes.filter((change) =>
      this.mergeChange(change, now)
    );
    this.removeExpiredTombstones(now);
    return { hasNewConfiguration, changes: newChanges };
  }

  /** Merges a snapshot. Upstreams that it does not list are removed, unless they changed after the snapshot.
   * @param revision Position of the snapshot.
   * @param configuration Configuration in the snapshot.
   * @param changes Upstreams in the snapshot.
   * @param now Monotonic milliseconds. */
  mergeSnapshot(
    revision: number,
    configuration: PublishedConfiguration | undefined,
    changes: readonly UpstreamChange[],
    now: number,
  ): MergeResult {
    const listed = new Set(changes.map((change) => change.id));
    const removed = [...this.records].filter(([id, record]) =>
      record.upstream !== undefined && !listed.has(id) &&
      record.revision < revision
    ).map(([id]) => ({ id, revision, upstream: undefined }));
    const corrected = changes.map((change) =>
      this.correctRestoredChange(change, true)
    );
    return this.merge(configuration, [...corrected, ...removed], now);
  }

  /** Merges the state of a peer. If its era is new here, upstreams that the peer does not list are removed: they have
   * not been published in that era.
   * @param completeUpTo Position up to which the peer misses no change.
   * @param configuration The peer's configuration.
   * @param changes All of the peer's changes after a position up to which this process misses none.
   * @param now Monotonic milliseconds. */
  mergePeerState(
    completeUpTo: number,
    configuration: PublishedConfiguration | undefined,
    changes: readonly UpstreamChange[],
    now: number,
  ): MergeResult {
    const era = getEra(completeUpTo);
    if (era <= this.era) return this.merge(configuration, changes, now);
    const listed = new Set(changes.map((change) => change.id));
    const removed = [...this.records].filter(([id, record]) =>
      record.upstream !== undefined && !listed.has(id) &&
      getEra(record.revision) < era
    ).map(([id]) => ({ id, revision: completeUpTo, upstream: undefined }));
    // An upstream that was removed here may have been published again before the peer sent its state.
    const corrected = changes.map((change) =>
      this.correctRestoredChange(change, false)
    );
    return this.merge(configuration, [...corrected, ...removed], now);
  }

  /** Merges changes of evacuations, in any order; returns those that alter what is in force.
   * @param changes The changes. */
  mergeEvacuations(changes: readonly EvacuationChange[]): EvacuationChange[] {
    const applied = this.evacuationRecords.merge(changes, this.era);
    const revisions = applied.map(({ revision }) => revision);
    this.highestRevision = Math.max(this.highestRevision, ...revisions);
    return applied;
  }

  /** Merges the list of all evacuations in force; others are withdrawn, unless they changed after it. Returns the changes
   * that alter what is in force.
   * @param revision Position of the list.
   * @param listed The complete list. */
  mergeEvacuationList(
    revision: number,
    listed: readonly EvacuationChange[],
  ): EvacuationChange[] {
    const withdrawn = this.evacuationRecords.findWithdrawals(listed, revision);
    return this.mergeEvacuations([...listed, ...withdrawn]);
  }

  /** Returns the last known change of each hall's evacuation, including withdrawals. */
  getEvacuationChanges(): EvacuationChange[] {
    return this.evacuationRecords.getChanges();
  }

  /** Returns the last known change of each upstream, including the tombstones of removed ones.
   * @param after Position after which the upstream changed; 0 for all. */
  getChanges(after = 0): UpstreamChange[] {
    return [...this.records].filter(([, { revision }]) => revision > after).map(
      ([id, { revision, upstream }]) => ({ id, revision, upstream }),
    );
  }

  /** Corrects a change of a newer era by what is known from the era before.
   * @param change The change.
   * @param isFromSnapshot Whether it comes from a snapshot of the restored platform. Only then does an upstream that
   * was removed here count as removed after the backup; a peer's change may be a later publication of it. */
  private correctRestoredChange(
    change: UpstreamChange,
    isFromSnapshot: boolean,
  ): UpstreamChange {
    const { id, revision, upstream: restored } = change;
    const previous = this.records.get(id);
    if (!restored || !previous?.last) return change;
    if (getEra(previous.revision) >= getEra(revision)) return change;
    const isRemoved = previous.upstream === undefined;
    if (isRemoved && !isFromSnapshot) return change;
    const upstream = correctRestoredUpstream({
      last: previous.last,
      isRemoved,
    }, restored);
    if (upstream === restored) return change;
    return { id, revision: createCorrectionPosition(revision), upstream };
  }

  private mergeChange(change: UpstreamChange, now: number): boolean {
    if (getEra(change.revision) < this.era) return false;
    const previous = this.records.get(change.id);
    if (previous && previous.revision >= change.revision) return false;
    if (previous) this.addToDigest(change.id, previous, -1);
    const record = {
      revision: change.revision,
      upstream: change.upstream,
      last: change.upstream ?? previous?.last,
      learnedAt: now,
    };
    this.records.set(change.id, record);
    this.addToDigest(change.id, record, 1);
    this.highestRevision = Math.max(this.highestRevision, change.revision);
    // The removal of an unknown upstream is recorded, so that no older change can add it, but it is not reported.
    return previous?.upstream !== undefined || change.upstream !== undefined;
  }

  private removeExpiredTombstones(now: number): void {
    for (const [id, record] of this.records) {
      if (record.upstream !== undefined) continue;
      if (now - record.learnedAt > TOMBSTONE_TTL_MS) this.records.delete(id);
    }
  }

  /** Adds or subtracts the contribution of an upstream to the digest; a removed upstream contributes nothing. */
  private addToDigest(id: string, record: UpstreamRecord, sign: 1 | -1): void {
    if (record.upstream === undefined) return;
    const hash = hashText(`${id}@${record.revision}`);
    this.digestSum = (this.digestSum + sign * hash) >>> 0;
  }
}
