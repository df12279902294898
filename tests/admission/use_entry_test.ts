import test from "ava";
import { useEntry } from "../../src/admission/use_entry.ts";

test("the entry used longest ago is dropped where there are too many", (t) => {
  const entries = new Map<string, { name: string }>();
  const use = (name: string) => useEntry(entries, name, () => ({ name }), 2);
  const first = use("a");
  use("b");
  t.is(use("a"), first);
  use("c");
  t.deepEqual([...entries.keys()], ["a", "c"]);
});
