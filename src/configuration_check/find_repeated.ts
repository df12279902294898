/** Returns the items whose key an earlier item has, each with the first item of that key.
 * @param items The items.
 * @param getKey Returns the key of an item. */
export function findRepeated<Item>(
  items: readonly Item[],
  getKey: (item: Item) => string,
): { item: Item; first: Item }[] {
  const firstByKey = new Map<string, Item>();
  return items.flatMap((item) => {
    const key = getKey(item);
    const first = firstByKey.get(key);
    if (first === undefined) firstByKey.set(key, item);
    return first === undefined ? [] : [{ item, first }];
  });
}
