import fc from "fast-check";
import test from "ava";
import type { PublishedValue } from "../../src/configuration/document_schema.ts";
import { DocumentStore } from "../../src/configuration/document_store.ts";

const publishedValue: fc.Arbitrary<PublishedValue> = fc.record({
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

/** Keeps the first value for each key and revision, as the platform publishes only one. */
function removeConflicts(values: PublishedValue[]): PublishedValue[] {
  const first = new Map<string, PublishedValue>();
  for (const value of values) {
    const name = `${value.key}@${value.revision}`;
    if (!first.has(name)) first.set(name, value);
  }
  return [...first.values()];
}

function mergeAll(values: readonly PublishedValue[]): DocumentStore {
  const store = DocumentStore.create();
  for (const value of values) store.offer(value);
  return store;
}

test("stores that receive the same values in any order, with duplicates, hold the same documents", (t) => {
  const converges = fc.property(
    fc.array(publishedValue, { maxLength: 30 }),
    fc.infiniteStream(fc.nat()),
    (generated, order) => {
      const values = removeConflicts(generated);
      const ranked = values.map((value) => ({
        value,
        rank: order.next().value as number,
      }));
      const shuffled = ranked.sort((a, b) => a.rank - b.rank).map((entry) =>
        entry.value
      );
      const first = mergeAll(values);
      const second = mergeAll([...shuffled, ...values]);
      return first.digest === second.digest &&
        JSON.stringify(first.getValuesAfter(0)) ===
          JSON.stringify(second.getValuesAfter(0));
    },
  );
  t.notThrows(() => fc.assert(converges, { seed: 1, numRuns: 500 }));
});

test("the current revision of a key never decreases", (t) => {
  const neverDecreases = fc.property(
    fc.array(publishedValue, { maxLength: 40 }),
    (values) => {
      const store = DocumentStore.create();
      const revisionByKey = new Map<string, number>();
      for (const value of values) {
        store.offer(value);
        for (const [key, { published: current }] of store.getDocuments()) {
          if (current.revision < (revisionByKey.get(key) ?? 0)) return false;
          revisionByKey.set(key, current.revision);
        }
      }
      return true;
    },
  );
  t.notThrows(() => fc.assert(neverDecreases, { seed: 2, numRuns: 500 }));
});
