import type { PublishedConfiguration } from "./configuration_schema.ts";
import type { EvacuationChange } from "./evacuation_change.ts";
import type { PublishedUpstream } from "./upstream_schema.ts";

/** An upstream that was published or changed, or the removal of one. Every `revision` in this file is a
 * position (`createPosition`). */
export type UpstreamChange =
  | { id: string; revision: number; upstream: PublishedUpstream }
  | { id: string; revision: number; upstream: undefined };

/** All published data at one point in time. */
export interface PublicationSnapshot {
  /** Revision up to which the snapshot is guaranteed to contain every change. */
  revision: number;
  configuration: PublishedConfiguration | undefined;
  upstreams: UpstreamChange[];
  /** All evacuations in force. */
  evacuations: EvacuationChange[];
  /** Items that could not be decoded and were skipped, each with the reason. */
  problems: string[];
}

/** Changes that were published after a revision. */
export interface PublicationChanges {
  /** Revision from which the next watch continues. */
  revision: number;
  /** The newest configuration among the changes, if any. */
  configuration: PublishedConfiguration | undefined;
  upstreams: UpstreamChange[];
  evacuations: EvacuationChange[];
  /** Items that could not be decoded and were skipped, each with the reason. */
  problems: string[];
}

/** What the platform still retains of the changes of upstreams. */
export interface PublicationHistory {
  /** The upstreams that are published at the end of the history. */
  present: UpstreamChange[];
  /** The retained changes, in their order; an upstream that changed several times has several. */
  changes: UpstreamChange[];
  /** Position after which no change is unknown: each is among `changes`, or is the first or the last one of an item that
   * is still published. The position 0 of an era is the beginning of the platform. */
  completeAfter: number;
  /** Number of calls to the platform that the read took. */
  calls: number;
}

/** Reason why a read from a feed failed. */
export type FeedFailure =
  /** The changes after the requested position are no longer retained, or the platform has been restored since. A new
   * snapshot is needed. */
  | { kind: "history_lost" }
  | { kind: "unavailable"; detail: string };

/** Source of the data that operators and upstreams publish. Each platform has an adapter that implements it. */
export interface PublicationFeed {
  /** Reads all published data.
   * @throws FeedError if the platform does not answer. */
  readSnapshot(): Promise<PublicationSnapshot>;
  /** Waits for changes after a revision (long poll).
   * @param after Revision that is already known.
   * @param waitMs Maximum wait in milliseconds, after which the result is empty if nothing has changed.
   * @throws FeedError if the platform does not answer or no longer retains the history. */
  watch(after: number, waitMs: number): Promise<PublicationChanges>;
  /** Reads what the platform retains of the changes of upstreams. It takes several calls, so call this rarely.
   * @throws FeedError if the platform does not answer or has been restored meanwhile. */
  readHistory(): Promise<PublicationHistory>;
  /** Closes the connections. */
  close(): Promise<void>;
}
