import type { PublishedUpstream } from "./upstream_schema.ts";

/** What is known of an upstream before the platform is restored. */
export interface KnownBeforeRestore {
  /** The upstream as last published, also where it is gone since. */
  last: PublishedUpstream;
  isGone: boolean;
}

/** Corrects the entry of an upstream in an older copy by what was published after the copy was made.
 * @param before What is known.
 * @param copy The entry in the copy.
 * @returns The copy itself where nothing contradicts it; nothing where the start in the copy is over. */
export function correctRestored(
  before: KnownBeforeRestore,
  copy: PublishedUpstream,
): PublishedUpstream | undefined {
  const { last, isGone } = before;
  if (isLaterStart(last, copy)) return isGone ? undefined : last;
  const isOver = isGone || last.isLeaving;
  return isOver && isSameStart(last, copy) && !copy.isLeaving
    ? { ...copy, isLeaving: true }
    : copy;
}

function isLaterStart(
  last: PublishedUpstream,
  copy: PublishedUpstream,
): boolean {
  return last.startedAt !== undefined && copy.startedAt !== undefined &&
    last.startedAt > copy.startedAt;
}

function isSameStart(
  last: PublishedUpstream,
  copy: PublishedUpstream,
): boolean {
  return last.address === copy.address && last.service === copy.service &&
    last.startedAt === copy.startedAt;
}
