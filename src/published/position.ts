/** Positions order all published changes. The platform's own revision numbers go back when it is restored from an older
 * backup. Its era rises with each restore, so a position compares the era first and the revision second. */

/** Maximum number of changes in one era. Era and revision together fit into an exact (safe) integer. */
const POSITIONS_PER_ERA = 2 ** 40;
/** Highest era whose positions are exact numbers. */
export const MAX_ERA = 2 ** 12 - 1;
/** Places a correction directly after the change that it corrects and before the next change. */
const CORRECTION_OFFSET = 0.5;

/** Creates the position of a change.
 * @param era Number of restores of the platform before the change.
 * @param revision The platform's revision number of the change. */
export function createPosition(era: number, revision: number): number {
  return era * POSITIONS_PER_ERA + revision;
}

/** Returns the era of a position. */
export function getEra(position: number): number {
  return Math.floor(position / POSITIONS_PER_ERA);
}

/** Returns the platform's revision number of a position. */
export function getRevision(position: number): number {
  return Math.floor(position % POSITIONS_PER_ERA);
}

/** Creates the position of a correction to a change, used where a host has newer knowledge than the restored platform.
 * @param position Position of the corrected change. */
export function createCorrectionPosition(position: number): number {
  return Math.floor(position) + CORRECTION_OFFSET;
}
