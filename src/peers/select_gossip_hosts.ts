import type { Random } from "../random/random.ts";
import type { KnownHost } from "./known_host.ts";

/** Selects the hosts whose state is included in a gossip message: half of them the most recently seen, half drawn at
 * random from the others.
 * @param hosts The candidates.
 * @param count Maximum number of hosts.
 * @param random Random source. */
export function selectGossipHosts(
  hosts: readonly KnownHost[],
  count: number,
  random: Random,
): KnownHost[] {
  const sorted = [...hosts].sort((a, b) => b.lastSeenAt - a.lastSeenAt);
  const newest = sorted.splice(0, count / 2);
  const remaining = count - newest.length;
  const drawn = sorted.length <= remaining
    ? sorted
    : Array.from({ length: remaining }, () => random.pick(sorted));
  return [...newest, ...new Set(drawn)];
}
