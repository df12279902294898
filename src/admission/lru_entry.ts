/** Returns an entry of a size-limited map and marks it as most recently used. Creates a missing entry, evicting the
 * least recently used one if the map exceeds its limit.
 * @param entries The map, in order of last use.
 * @param key Key of the entry.
 * @param create Creates a missing entry.
 * @param limit Maximum number of entries. */
export function getOrCreateLruEntry<Key, Entry>(
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
