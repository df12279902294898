import type { Random } from "../random/random.ts";
import type { KnownHost } from "./known_host.ts";

/** Chooses the hosts to gossip about: half of them the most recently seen, half picked at random.
 * @param hosts The hosts to choose from.
 * @param count Most hosts.
 * @param random Source of the choice. */
export function chooseTold(
  hosts: readonly KnownHost[],
  count: number,
  random: Random,
): KnownHost[] {
  const sorted = [...hosts].sort((a, b) => b.heardAt - a.heardAt);
  const newest = sorted.splice(0, count / 2);
  const left = count - newest.length;
  const any = sorted.length <= left
    ? sorted
    : Array.from({ length: left }, () => random.pick(sorted));
  return [...newest, ...new Set(any)];
}
