import type { ConnectionLiveness } from "../paths/connection_liveness.ts";

/** Time since an upstream was last heard within which its idle connections are trusted, in milliseconds. */
const RECENTLY_HEARD_MS = 1_000;
/** The same where other connections of this host prove that theirs have not been silenced since, in milliseconds: an
 * upstream that fell silent by itself is then noticed by other requests first. */
const HEARD_WITH_PROOF_MS = 6_000;

/** What is known of the idle connections to an upstream. */
export interface IdleConnectionState {
  /** Monotonic milliseconds at which the upstream was last heard. */
  lastReceivedAt: number;
  liveness: ConnectionLiveness;
  /** Whether the fleet is so large that a host seldom hears from an upstream within a second. */
  isLargeFleet: boolean;
  /** Monotonic milliseconds. */
  now: number;
}

/** Whether a request that may run only once can be sent on an idle connection to an upstream. A silenced connection would
 * lose it, whereas a new connection that is not established was certainly not used.
 * @param state What is known of the idle connections. */
export function trustsIdleConnections(
  { lastReceivedAt, liveness, isLargeFleet, now }: IdleConnectionState,
): boolean {
  const silentMs = now - lastReceivedAt;
  if (silentMs < RECENTLY_HEARD_MS) return true;
  return isLargeFleet && silentMs < HEARD_WITH_PROOF_MS &&
    liveness.isProvenSince(lastReceivedAt, now);
}
