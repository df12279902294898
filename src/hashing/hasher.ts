import murmurHash from "imurmurhash";

/** Hashes text to an unsigned 32-bit number with MurmurHash3.
 * @param text The text.
 * @param seed Seed of the hash; 0 by default. */
export function hashText(text: string, seed = 0): number {
  return murmurHash(text, seed).result();
}
