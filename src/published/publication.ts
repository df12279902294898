import { hashText } from "../hashing/hasher.ts";
import type { PublishedConfiguration } from "./configuration_schema.ts";
import { correctPosition, getEra } from "./position.ts";
import type { UpstreamChange } from "./publication_feed.ts";
import { correctRestored } from "./restored_upstream.ts";
import type { PublishedUpstream } from "./upstream_schema.ts";

/** Time for which it is remembered that an upstream is gone, so that no peer brings it back. */
const GONE_REMEMBERED_MS = 120_000;

interface Known {
  revision: number;
  upstream: PublishedUpstream | undefined;
  /** The upstream as last published, also where it is gone since. */
  last: PublishedUpstream | undefined;
  /** Monotonic milliseconds at which this became known here. */
  knownAt: number;
}

/** What changed when something was merged. */
export interface MergeResult {
  /** Whether a newer configuration is now in force. */
  isConfigurationNew: boolean;
  /** Changes of upstreams that were news. */
  changes: UpstreamChange[];
}

/** Everything published that this process knows.
 * Of the configuration the highest version, and of each upstream the highest position is kept, so that merging
 * gives the same result in any order and never goes back. */
export class Publication {
  private current: PublishedConfiguration | undefined;
  private readonly known = new Map<string, Known>();
  private highestRevision = 0;
  private knownUpTo = 0;
  private digestSum = 0;

  private constructor() {}

  /** Creates an empty publication. */
  static create(): Publication {
    return new Publication();
  }

  /** The configuration in force, or nothing before the first. */
  get configuration(): PublishedConfiguration | undefined {
    return this.current;
  }

  /** Highest position of any change that was merged. */
  get revision(): number {
    return this.highestRevision;
  }

  /** Number of restores of the platform, as far as is known. */
  get era(): number {
    return getEra(this.knownUpTo);
  }

  /** Revision up to which no change is missing here. */
  get completeUpTo(): number {
    return this.knownUpTo;
  }

  /** A number that is equal on two processes that know the same. */
  get digest(): number {
    return (this.digestSum + (this.current?.version ?? 0)) >>> 0;
  }

  /** Notes that no change up to a revision is missing.
   * @param revision The revision. */
  noteComplete(revision: number): void {
    this.knownUpTo = Math.max(this.knownUpTo, revision);
  }

  /** Merges a configuration and changes of upstreams.
   * @param configuration The configuration, where there is one.
   * @param changes The changes, in any order.
   * @param now Monotonic milliseconds. */
  merge(
    configuration: PublishedConfiguration | undefined,
    changes: readonly UpstreamChange[],
    now: number,
  ): MergeResult {
    const isConfigurationNew = configuration !== undefined &&
      configuration.version > (this.current?.version ?? -Infinity);
    if (isConfigurationNew) this.current = configuration;
    const news = changes.filter((change) => this.mergeChange(change, now));
    this.forgetGone(now);
    return { isConfigurationNew, changes: news };
  }

  /** Merges a snapshot: what it lacks and was known before it is gone.
   * @param revision Revision of the snapshot.
   * @param configuration Its configuration.
   * @param changes Its upstreams.
   * @param now Monotonic milliseconds. */
  mergeSnapshot(
    revision: number,
    configuration: PublishedConfiguration | undefined,
    changes: readonly UpstreamChange[],
    now: number,
  ): MergeResult {
    const listed = new Set(changes.map((change) => change.id));
    const gone = [...this.known].filter(([id, known]) =>
      known.upstream !== undefined && !listed.has(id) &&
      known.revision < revision
    ).map(([id]) => ({ id, revision, upstream: undefined }));
    const corrected = changes.map((change) => this.correct(change, true));
    return this.merge(configuration, [...corrected, ...gone], now);
  }

  /** Merges what a peer knows. Of an era that is new here, what the peer doesn't list was not published in it.
   * @param completeUpTo Position up to which the peer misses no change.
   * @param configuration Its configuration.
   * @param changes All changes after a position up to which none is missing here.
   * @param now Monotonic milliseconds. */
  mergeState(
    completeUpTo: number,
    configuration: PublishedConfiguration | undefined,
    changes: readonly UpstreamChange[],
    now: number,
  ): MergeResult {
    const era = getEra(completeUpTo);
    if (era <= this.era) return this.merge(configuration, changes, now);
    const listed = new Set(changes.map((change) => change.id));
    const gone = [...this.known].filter(([id, known]) =>
      known.upstream !== undefined && !listed.has(id) &&
      getEra(known.revision) < era
    ).map(([id]) => ({ id, revision: completeUpTo, upstream: undefined }));
    // What is gone here may have been written again before the peer told it.
    const corrected = changes.map((change) => this.correct(change, false));
    return this.merge(configuration, [...corrected, ...gone], now);
  }

  /** All upstreams as they are known, with those lately gone.
   * @param after Revision after which they changed; 0 for all. */
  getChanges(after = 0): UpstreamChange[] {
    return [...this.known].filter(([, { revision }]) => revision > after).map(
      ([id, { revision, upstream }]) => ({ id, revision, upstream }),
    );
  }

  /** Corrects a change of a newer era by what is known from the one before.
   * @param change The change.
   * @param isCopy Whether it is as the platform was restored, so that what is gone here had been there before. */
  private correct(change: UpstreamChange, isCopy: boolean): UpstreamChange {
    const { id, revision, upstream: copy } = change;
    const before = this.known.get(id);
    if (!copy || !before?.last) return change;
    if (getEra(before.revision) >= getEra(revision)) return change;
    const isGone = before.upstream === undefined;
    if (isGone && !isCopy) return change;
    const upstream = correctRestored({ last: before.last, isGone }, copy);
    if (upstream === copy) return change;
    return { id, revision: correctPosition(revision), upstream };
  }

  private mergeChange(change: UpstreamChange, now: number): boolean {
    if (getEra(change.revision) < this.era) return false;
    const before = this.known.get(change.id);
    if (before && before.revision >= change.revision) return false;
    if (before) this.addToDigest(change.id, before, -1);
    const known = {
      revision: change.revision,
      upstream: change.upstream,
      last: change.upstream ?? before?.last,
      knownAt: now,
    };
    this.known.set(change.id, known);
    this.addToDigest(change.id, known, 1);
    this.highestRevision = Math.max(this.highestRevision, change.revision);
    // That one which was never known is gone is kept, so that no older word brings it up, but it is no news.
    return before?.upstream !== undefined || change.upstream !== undefined;
  }

  private forgetGone(now: number): void {
    for (const [id, known] of this.known) {
      if (known.upstream !== undefined) continue;
      if (now - known.knownAt > GONE_REMEMBERED_MS) this.known.delete(id);
    }
  }

  /** Adds or takes away an upstream's part of the digest; one that is gone has none. */
  private addToDigest(id: string, known: Known, sign: 1 | -1): void {
    if (known.upstream === undefined) return;
    const hash = hashText(`${id}@${known.revision}`);
    this.digestSum = (this.digestSum + sign * hash) >>> 0;
  }
}
