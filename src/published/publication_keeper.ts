import { readClock } from "../clock/clock.ts";
import type { Logger } from "../logging/logger.ts";
import type { PublishedConfiguration } from "./configuration_schema.ts";
import { Freshness } from "./freshness.ts";
import { getEra, getRevision } from "./position.ts";
import { type MergeResult, Publication } from "./publication.ts";
import type {
  PublicationChanges,
  PublicationSnapshot,
  UpstreamChange,
} from "./publication_feed.ts";
import { RouteTable } from "./route_table.ts";
import type { PublishedUpstream } from "./upstream_schema.ts";

/** Age of what is known from which an outage of the platform lies behind it, in milliseconds: beyond what it reaches
 * while a host of the fleet reads the platform, and below the three missed heartbeats after which entries lapse. */
const OUTAGE_AGE_MS = 2_200;
/** Time after an outage in which a missing entry may only have lapsed, in milliseconds: the two seconds in which lapsed
 * entries come back, and a little. */
const LAPSE_WINDOW_MS = 2_200;

/** What the keeper needs and whom it tells. */
export interface PublicationKeeperOptions {
  logger: Logger;
  /** Told of each newer configuration. */
  onConfiguration: (table: RouteTable) => void;
  /** Told of each era of the platform that is new here. */
  onEra: (era: number) => void;
  /** Told of each change of upstreams. */
  onUpstreams: (changes: readonly UpstreamChange[]) => void;
}

/** What a peer tells of what it knows, all of it or what changed after a revision. */
export interface PublicationState {
  configuration: PublishedConfiguration | undefined;
  changes: UpstreamChange[];
  /** Revision up to which the peer misses no change. */
  completeUpTo: number;
  /** Age in milliseconds of what the peer knows, when it told this. */
  ageMs: number;
}

/** The task that owns what is published: it merges the platform's and peers' word and tells the rest what is new. */
export class PublicationKeeper {
  private readonly publication = Publication.create();
  private readonly freshness = Freshness.create();
  private table: RouteTable | undefined;
  private regainedAt = -Infinity;

  private constructor(private readonly options: PublicationKeeperOptions) {}

  /** Creates a keeper that knows nothing.
   * @param options What it needs. */
  static create(options: PublicationKeeperOptions): PublicationKeeper {
    return new PublicationKeeper(options);
  }

  /** The routes in force, or nothing before the first configuration. */
  get routes(): RouteTable | undefined {
    return this.table;
  }

  /** Highest revision of any change that was merged. */
  get revision(): number {
    return this.publication.revision;
  }

  /** Revision up to which no change is missing here. */
  get completeUpTo(): number {
    return this.publication.completeUpTo;
  }

  /** A number that is equal on two processes that know the same. */
  get digest(): number {
    return this.publication.digest;
  }

  /** Age in milliseconds of what is known: nothing published before that is missing here. */
  get ageMs(): number {
    return this.freshness.getAge(readClock());
  }

  /** Monotonic milliseconds up to which a missing entry may only have lapsed while the platform was away. */
  get lapseEndsAt(): number {
    return this.regainedAt + LAPSE_WINDOW_MS;
  }

  /** What is known, for a peer.
   * @param after Revision up to which the peer misses nothing; 0 for all. */
  getState(after = 0): PublicationState {
    return {
      configuration: this.publication.configuration,
      changes: this.publication.getChanges(after),
      completeUpTo: this.publication.completeUpTo,
      ageMs: this.ageMs,
    };
  }

  /** Merges a snapshot of the platform.
   * @param snapshot The snapshot.
   * @param askedAt Monotonic milliseconds at which it was asked for. */
  takeSnapshot(snapshot: PublicationSnapshot, askedAt: number): void {
    const { revision, configuration, upstreams } = snapshot;
    this.noteRegained(askedAt);
    this.noteEra(revision, "snapshot");
    const now = readClock();
    this.apply(
      this.publication.mergeSnapshot(revision, configuration, upstreams, now),
      "snapshot",
    );
    this.publication.noteComplete(revision);
    this.freshness.confirm(askedAt);
  }

  /** Merges changes that a watch brought.
   * @param changes The changes, all after a revision up to which none was missing.
   * @param knownUpTo Monotonic milliseconds up to which the watch is sure to have brought every change. */
  takeChanges(changes: PublicationChanges, knownUpTo: number): void {
    const { configuration, upstreams } = changes;
    this.noteRegained(knownUpTo);
    this.apply(
      this.publication.merge(configuration, upstreams, readClock()),
      "watch",
    );
    this.publication.noteComplete(changes.revision);
    this.freshness.confirm(knownUpTo);
  }

  /** Merges what a peer knows.
   * @param state What it knows, all of it or all after a revision up to which nothing is missing here.
   * @param peerId The peer.
   * @param askedAt Monotonic milliseconds at which it was asked. */
  takeState(state: PublicationState, peerId: string, askedAt: number): void {
    this.noteRegained(askedAt - state.ageMs);
    this.noteEra(state.completeUpTo, `peer ${peerId}`);
    this.apply(
      this.publication.mergeState(
        state.completeUpTo,
        state.configuration,
        state.changes,
        readClock(),
      ),
      `peer ${peerId}`,
    );
    this.publication.noteComplete(state.completeUpTo);
    this.freshness.confirm(askedAt - state.ageMs);
  }

  /** Takes a peer's word that it knows the same; its age then holds here too.
   * @param digest The peer's digest.
   * @param moment Monotonic milliseconds of this process up to which the peer knows everything. */
  takeConfirmation(digest: number, moment: number): void {
    if (digest !== this.digest) return;
    this.noteRegained(moment);
    this.freshness.confirm(moment);
  }

  /** Notes the end of an outage, where what comes in is new and what was known is old.
   * @param moment Monotonic milliseconds up to which everything is known now. */
  private noteRegained(moment: number): void {
    const { ageMs } = this;
    const isNew = readClock() - moment < OUTAGE_AGE_MS;
    if (!isNew || ageMs < OUTAGE_AGE_MS || !Number.isFinite(ageMs)) return;
    this.regainedAt = readClock();
    this.options.logger.info(
      { ageMs: Math.round(ageMs) },
      "publication_regained",
    );
  }

  /** Notes a restore of the platform: entries that are missing may only wait to be written again. */
  private noteEra(position: number, source: string): void {
    const { era, completeUpTo } = this.publication;
    const newEra = getEra(position);
    if (newEra <= era) return;
    this.options.onEra(newEra);
    if (completeUpTo === 0) return;
    this.regainedAt = readClock();
    this.options.logger.warn({
      era: newEra,
      revision: getRevision(position),
      eraBefore: era,
      revisionBefore: getRevision(completeUpTo),
      source,
    }, "publication_restored");
  }

  private apply(result: MergeResult, source: string): void {
    if (result.isConfigurationNew) this.applyConfiguration(source);
    if (result.changes.length === 0) return;
    for (const { id, revision, upstream } of result.changes) {
      const state = nameState(upstream);
      const address = upstream?.address ?? "";
      const service = upstream?.service ?? "";
      this.options.logger.info(
        {
          upstream: id,
          state,
          service,
          address,
          era: getEra(revision),
          revision: getRevision(revision),
          source,
        },
        "upstream_published",
      );
    }
    this.options.onUpstreams(result.changes);
  }

  private applyConfiguration(source: string): void {
    const before = this.table?.version;
    this.table = RouteTable.create(this.publication.configuration!);
    const { version } = this.table;
    this.options.logger.info(
      { version, before, source },
      "configuration_in_force",
    );
    this.options.onConfiguration(this.table);
  }
}

/** What the log calls the state of an upstream as it is published. */
function nameState(
  upstream: PublishedUpstream | undefined,
): "gone" | "leaving" | "live" {
  if (!upstream) return "gone";
  return upstream.isLeaving ? "leaving" : "live";
}
