import type { PathTarget } from "./path_target.ts";

/** Time since bytes of any other upstream within which this host's own network is taken to work, in milliseconds. */
const OWN_NETWORK_HEARD_MS = 300;

/** Whether this host has just heard from any upstream but one, so that its own network works.
 * @param target The upstream that is left out.
 * @param targets All upstreams.
 * @param now Monotonic milliseconds. */
export function hearsFromOthers(
  target: PathTarget,
  targets: Iterable<PathTarget>,
  now: number,
): boolean {
  for (const other of targets) {
    const heardAgoMs = now - other.lastReceivedAt;
    if (other !== target && heardAgoMs < OWN_NETWORK_HEARD_MS) return true;
  }
  return false;
}
