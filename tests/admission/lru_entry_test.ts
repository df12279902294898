import test from "ava";
import { getOrCreateLruEntry } from "../../src/admission/lru_entry.ts";

test("the least recently used entry is evicted when the limit is exceeded", (t) => {
  const entries = new Map<string, { name: string }>();
  const use = (name: string) =>
    getOrCreateLruEntry(entries, name, () => ({ name }), 2);
  const first = use("a");
  use("b");
  t.is(use("a"), first);
  use("c");
  t.deepEqual([...entries.keys()], ["a", "c"]);
});
