import type { PublishedConfiguration } from "./configuration_schema.ts";
import type { PublishedUpstream } from "./upstream_schema.ts";

/** An upstream as it was published, or that it is gone. All `revision`s here are positions (`createPosition`). */
export type UpstreamChange =
  | { id: string; revision: number; upstream: PublishedUpstream }
  | { id: string; revision: number; upstream: undefined };

/** Everything that is published at one time. */
export interface PublicationSnapshot {
  /** Revision up to which the snapshot is sure to hold every change. */
  revision: number;
  configuration: PublishedConfiguration | undefined;
  upstreams: UpstreamChange[];
  /** What could not be decoded and was left out, with the reason. */
  problems: string[];
}

/** What was published after a revision. */
export interface PublicationChanges {
  /** Revision from which the next watch goes on. */
  revision: number;
  /** The newest configuration among the changes, where there is one. */
  configuration: PublishedConfiguration | undefined;
  upstreams: UpstreamChange[];
  /** What could not be decoded and was left out, with the reason. */
  problems: string[];
}

/** Why a read of what is published failed. */
export type FeedFailure =
  /** Changes after the asked position are no longer kept, or the platform was restored since; a snapshot is needed. */
  | { kind: "history_lost" }
  | { kind: "unavailable"; detail: string };

/** Reads what operators and upstreams publish; an adapter implements it for one platform. */
export interface PublicationFeed {
  /** Reads everything.
   * @throws FeedError where the platform does not answer. */
  readSnapshot(): Promise<PublicationSnapshot>;
  /** Waits for changes after a revision.
   * @param after Revision already known.
   * @param waitMs Longest wait in milliseconds; without a change the answer is then empty.
   * @throws FeedError where the platform does not answer or has dropped the history. */
  watch(after: number, waitMs: number): Promise<PublicationChanges>;
  /** Closes the connections. */
  close(): Promise<void>;
}
