import { readClock } from "../clock/clock.ts";

/** Time after a request is sent within which upstreams decline it, in milliseconds. */
const DECLINE_WINDOW_MS = 250;
/** Least time for which an abandoned request waits for a decline, in milliseconds. */
const MIN_WAIT_MS = 50;

/** Closes the connection of an abandoned request once a decline of it would have arrived.
 * @param sentAt Monotonic milliseconds at which the request was sent.
 * @param close Closes the connection. */
export function closeAfterDeclineWindow(
  sentAt: number,
  close: () => void,
): void {
  const remainingMs = sentAt + DECLINE_WINDOW_MS - readClock();
  // A timer that fires late runs ahead of the reads that are due, so the close waits for one round of these.
  setTimeout(() => setImmediate(close), Math.max(MIN_WAIT_MS, remainingMs))
    .unref();
}
