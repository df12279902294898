import { readClock } from "../clock/clock.ts";

/** Time within which upstreams decline a request after it was sent, in milliseconds. */
const DECLINE_WINDOW_MS = 250;
/** Minimum time for which an abandoned request waits for a decline, in milliseconds. */
const MIN_WAIT_MS = 50;

/** Closes the connection of an abandoned request once a decline of it would have arrived.
 * @param sentAt Monotonic milliseconds at which the request was sent.
 * @param close Closes the connection. */
export function closeAfterDeclineWindow(
  sentAt: number,
  close: () => void,
): void {
  const remainingMs = sentAt + DECLINE_WINDOW_MS - readClock();
  // A late timer runs before pending reads, so closing waits for one pass of the event loop over these.
  setTimeout(() => setImmediate(close), Math.max(MIN_WAIT_MS, remainingMs))
    .unref();
}
