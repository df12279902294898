import { hashText } from "./hasher.ts";

/** Ranks names for a key by rendezvous hashing, highest score first. Every process with the same names computes the
 * same order, and removing a name moves only the keys that it held.
 * @param key The key.
 * @param names Names to rank. */
export function rankByRendezvous(
  key: string,
  names: readonly string[],
): string[] {
  const seed = hashText(key);
  const scored = names.map((name) => ({ name, score: hashText(name, seed) }));
  scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return scored.map((entry) => entry.name);
}
