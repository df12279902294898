/** Place of a change among all that is published, which grows with each change. The platform's own numbers go back where it is
 * restored from an older copy; its era, which rises then, counts first. */

/** Changes of one era at most; both parts fit into an exact number. */
const ERA_STEP = 2 ** 40;
/** Greatest era whose positions are exact numbers. */
export const MAX_ERA = 2 ** 12 - 1;
/** What puts a correction of a change right after it, and before the next change. */
const CORRECTION_STEP = 0.5;

/** Creates the position of a change.
 * @param era Number of restores of the platform before it.
 * @param revision The platform's number of the change. */
export function createPosition(era: number, revision: number): number {
  return era * ERA_STEP + revision;
}

/** The era of a position.
 * @param position The position. */
export function getEra(position: number): number {
  return Math.floor(position / ERA_STEP);
}

/** The platform's own number of a change.
 * @param position The position. */
export function getRevision(position: number): number {
  return Math.floor(position % ERA_STEP);
}

/** The position of what a host knows better than the change there.
 * @param position The position of the change. */
export function correctPosition(position: number): number {
  return Math.floor(position) + CORRECTION_STEP;
}
