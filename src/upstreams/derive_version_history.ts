import { isSameInstance } from "../published/is_same_instance.ts";
import { getEra, getRevision } from "../published/position.ts";
import type {
  PublicationHistory,
  UpstreamChange,
} from "../published/publication_feed.ts";
import type { PublishedUpstream } from "../published/upstream_schema.ts";
import type { ObservedDeparture, ObservedHistory } from "./version_history.ts";

/** Time within which an upstream that has started publishes its first entry, in milliseconds, with a margin for the
 * difference between the clocks of two hosts. */
const PUBLICATION_DELAY_MS = 3_000;
/** Highest era of a platform that has not been restored; platforms count from zero or one. */
const MAX_ORIGINAL_ERA = 1;

/** Why a history does not show which versions have served. */
export type HistoryDefect =
  /** An upstream was removed whose own entry is no longer retained. */
  | "unknown_departure"
  /** The platform has been restored, which may have undone changes. */
  | "restored"
  /** Nothing shows for which time the history is complete. */
  | "unknown_age";

/** What a history of the publication shows. */
export interface DerivedHistory extends ObservedHistory {
  /** Undefined if all versions are known that have served in the observed time. */
  defect: HistoryDefect | undefined;
}

/** Derives which versions have served from what the platform retains. It states no times: upstreams that have left count
 * as having left just now, and the observed time follows from when upstreams have started.
 * @param publication What the platform retains.
 * @param wallClockMs The time in Unix milliseconds. */
export function deriveVersionHistory(
  publication: PublicationHistory,
  wallClockMs: number,
): DerivedHistory {
  const { changes, present, completeAfter } = publication;
  const changedIds = new Set(changes.map(({ id }) => id));
  const unchanged = present.filter(({ id }) => !changedIds.has(id));
  const changesById = new Map<string, UpstreamChange[]>();
  for (const change of [...changes, ...unchanged]) {
    const known = changesById.get(change.id) ?? [];
    known.push(change);
    changesById.set(change.id, known);
  }
  const histories = [...changesById.values()];
  const departures = histories.flatMap((known) => [
    ...findDepartures(known),
    ...findEarlierInstance(known[0]!, wallClockMs),
  ]);
  const hasUnknown = histories.some(([first]) => first!.upstream === undefined);
  const observedMs = getObservedMs(publication, wallClockMs);
  const defect = hasUnknown
    ? "unknown_departure"
    : getEra(completeAfter) > MAX_ORIGINAL_ERA
    ? "restored"
    : observedMs <= 0
    ? "unknown_age"
    : undefined;
  return { observedMs: defect ? 0 : observedMs, departures, defect };
}

/** Finds the instances of one upstream that have left.
 * @param changes Its changes in their order. */
function findDepartures(changes: readonly UpstreamChange[]) {
  return changes.slice(1).flatMap(({ upstream }, index) => {
    const before = changes[index]!.upstream;
    if (!before || (upstream && isSameInstance(before, upstream))) return [];
    return [createDeparture(before, before.softwareVersion, 0)];
  });
}

/** Finds an instance that the first known change of an upstream may have replaced. Its version is not known; it has ended
 * before the instance that is known now has started. Where no start times are published, each instance has its own id. */
function findEarlierInstance(
  { revision, upstream }: UpstreamChange,
  wallClockMs: number,
): ObservedDeparture[] {
  if (!upstream || upstream.startedAt === undefined) return [];
  if (upstream.arrival === revision) return [];
  const agoMs = getCertainAgeMs(upstream, wallClockMs);
  return [createDeparture(upstream, undefined, agoMs)];
}

function createDeparture(
  { service }: PublishedUpstream,
  softwareVersion: string | undefined,
  agoMs: number,
): ObservedDeparture {
  return { service, softwareVersion, agoMs };
}

/** Returns the time for which no upstream can have left unnoticed: since the beginning of the platform, or since the first
 * entry of an upstream after which every change is known. */
function getObservedMs(
  { changes, present, completeAfter }: PublicationHistory,
  wallClockMs: number,
): number {
  if (getRevision(completeAfter) === 0) return Infinity;
  const agesMs = [...changes, ...present].flatMap(({ upstream }) =>
    upstream && upstream.arrival > completeAfter
      ? [getCertainAgeMs(upstream, wallClockMs)]
      : []
  );
  return Math.max(0, ...agesMs);
}

/** Returns the time for which an upstream has certainly been published, in milliseconds. */
function getCertainAgeMs(
  { startedAt }: PublishedUpstream,
  wallClockMs: number,
): number {
  return startedAt === undefined
    ? 0
    : Math.max(0, wallClockMs - startedAt - PUBLICATION_DELAY_MS);
}
