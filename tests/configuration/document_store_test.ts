import fc from "fast-check";
import test from "ava";
import type { PublishedValue } from "../../src/configuration/document_schema.ts";
import { DocumentStore } from "../../src/configuration/document_store.ts";

const published: fc.Arbitrary<PublishedValue> = fc.record({
  name: fc.constantFrom("a", "b", "c"),
  partner: fc.constantFrom("kilima", "kilima", "rodar"),
  revision: fc.integer({ min: 1, max: 12 }),
}).map(({ name, partner, revision }) => ({
  key: `kilima/templates/${name}`,
  revision,
  value: {
    kind: "template",
    partner,
    name,
    parameters: { priority: revision % 10 },
  },
}));

/** One value for each key and revision, as a platform gives. */
function withoutConflicts(values: PublishedValue[]): PublishedValue[] {
  const first = new Map<string, PublishedValue>();
  for (const value of values) {
    const name = `${value.key}@${value.revision}`;
    if (!first.has(name)) first.set(name, value);
  }
  return [...first.values()];
}

function merge(values: readonly PublishedValue[]): DocumentStore {
  const store = DocumentStore.create();
  for (const value of values) store.offer(value);
  return store;
}

test("stores that saw the same values in any order, some twice, hold the same documents", (t) => {
  const isAlike = fc.property(
    fc.array(published, { maxLength: 30 }),
    fc.infiniteStream(fc.nat()),
    (raw, order) => {
      const values = withoutConflicts(raw);
      const keyed = values.map((value) => ({
        value,
        rank: order.next().value as number,
      }));
      const shuffled = keyed.sort((a, b) => a.rank - b.rank).map((entry) =>
        entry.value
      );
      const one = merge(values);
      const other = merge([...shuffled, ...values]);
      return one.digest === other.digest &&
        JSON.stringify(one.getValuesAfter(0)) ===
          JSON.stringify(other.getValuesAfter(0));
    },
  );
  t.notThrows(() => fc.assert(isAlike, { seed: 1, numRuns: 500 }));
});

test("what is in force for a key never goes back", (t) => {
  const neverBack = fc.property(
    fc.array(published, { maxLength: 40 }),
    (values) => {
      const store = DocumentStore.create();
      const inForce = new Map<string, number>();
      for (const value of values) {
        store.offer(value);
        for (const [key, { published: now }] of store.getDocuments()) {
          if (now.revision < (inForce.get(key) ?? 0)) return false;
          inForce.set(key, now.revision);
        }
      }
      return true;
    },
  );
  t.notThrows(() => fc.assert(neverBack, { seed: 2, numRuns: 500 }));
});
