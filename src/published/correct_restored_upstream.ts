import { isSameInstance } from "./is_same_instance.ts";
import type { PublishedUpstream } from "./upstream_schema.ts";

/** What this process knows about an upstream from before a restore of the platform. */
export interface UpstreamBeforeRestore {
  /** The upstream as last published, even if it has been removed since. */
  last: PublishedUpstream;
  isRemoved: boolean;
}

/** Corrects the restored entry of an upstream by what was published after the backup was taken.
 * @param before What is known from before the restore.
 * @param restored The entry in the restored platform.
 * @returns The restored entry itself if nothing contradicts it; undefined if it belongs to an ended instance and the
 * newer one has been removed as well. */
export function correctRestoredUpstream(
  before: UpstreamBeforeRestore,
  restored: PublishedUpstream,
): PublishedUpstream | undefined {
  const { last, isRemoved } = before;
  if (isNewerInstance(last, restored)) return isRemoved ? undefined : last;
  const hasEnded = isRemoved || last.isLeaving;
  return hasEnded && isSameInstance(last, restored) && !restored.isLeaving
    ? { ...restored, isLeaving: true }
    : restored;
}

function isNewerInstance(
  last: PublishedUpstream,
  restored: PublishedUpstream,
): boolean {
  return last.startedAt !== undefined && restored.startedAt !== undefined &&
    last.startedAt > restored.startedAt;
}
