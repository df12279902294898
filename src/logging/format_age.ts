import { readClock } from "../clock/clock.ts";

/** Returns the age of an event for a log line, in milliseconds; undefined if it has never happened.
 * @param at Monotonic milliseconds of the event; minus infinity if it has never happened.
 * @param now Monotonic milliseconds. */
export function formatAge(at: number, now = readClock()): number | undefined {
  return Number.isFinite(at) ? Math.round(now - at) : undefined;
}
