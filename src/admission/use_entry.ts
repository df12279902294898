/** Returns an entry of a map that is bounded by dropping the entry used longest ago; creates it where it is missing.
 * @param entries The map, in the order of last use.
 * @param key Key of the entry.
 * @param create Creates a missing entry.
 * @param limit Most entries. */
export function useEntry<Key, Entry>(
  entries: Map<Key, Entry>,
  key: Key,
  create: () => Entry,
  limit: number,
): Entry {
  const entry = entries.get(key) ?? create();
  entries.delete(key);
  entries.set(key, entry);
  if (entries.size > limit) {
    const [oldest] = entries.keys();
    entries.delete(oldest!);
  }
  return entry;
}
