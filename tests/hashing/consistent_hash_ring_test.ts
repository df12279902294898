import fc from "fast-check";
import test from "ava";
import { ConsistentHashRing } from "../../src/hashing/consistent_hash_ring.ts";

const names = fc.uniqueArray(fc.string({ minLength: 1 }), { maxLength: 30 });
const position = fc.integer({ min: 0, max: 2 ** 32 - 1 });

test("successors are distinct, as many as requested or all, and independent of the order of the given names", (t) => {
  const isDistinctAndStable = fc.property(
    names,
    position,
    (all, keyPosition) => {
      const following = ConsistentHashRing.create(all).getSuccessors(
        keyPosition,
        2,
      );
      const again = ConsistentHashRing.create([...all].reverse()).getSuccessors(
        keyPosition,
        2,
      );
      return following.length === Math.min(2, all.length) &&
        new Set(following).size === following.length &&
        following.join("|") === again.join("|");
    },
  );
  t.notThrows(() =>
    fc.assert(isDistinctAndStable, { seed: 1, numRuns: 1_000 })
  );
});

test("removing a name moves no keys of other names", (t) => {
  const staysInPlace = fc.property(names, position, (all, keyPosition) => {
    const [first] = ConsistentHashRing.create(all).getSuccessors(
      keyPosition,
      1,
    );
    const rest = all.filter((name, index) => index > 0 || name === first);
    return ConsistentHashRing.create(rest).getSuccessors(keyPosition, 1)[0] ===
      first;
  });
  t.notThrows(() => fc.assert(staysInPlace, { seed: 2, numRuns: 1_000 }));
});
