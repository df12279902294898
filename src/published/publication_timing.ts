/** Maximum wait of one long poll, in milliseconds; the publication appears up to this old while nothing changes. */
const MAX_WATCH_MS = 1_000;
/** The same wait as a fraction of the time within which changes must be in force. */
const MAX_WATCH_FRACTION = 0.5;
/** Maximum age that a publication reaches while it is updated in time, in milliseconds: that of a watcher, and the interval
 * at which others query it. */
const MAX_TIMELY_AGE_MS = 1_500;
/** The same age as a fraction of the time within which changes must be in force. */
const MAX_TIMELY_FRACTION = 0.75;

/** Returns the maximum wait of one long poll, in milliseconds.
 * @param applyWithinMs Time within which changes must be in force, in milliseconds. */
export function getWatchMs(applyWithinMs: number): number {
  return Math.min(MAX_WATCH_MS, applyWithinMs * MAX_WATCH_FRACTION);
}

/** Returns the age from which a publication is late and is updated sooner, in milliseconds.
 * @param applyWithinMs Time within which changes must be in force, in milliseconds. */
export function getLateAgeMs(applyWithinMs: number): number {
  return Math.min(MAX_TIMELY_AGE_MS, applyWithinMs * MAX_TIMELY_FRACTION);
}
