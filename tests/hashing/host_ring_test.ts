import fc from "fast-check";
import test from "ava";
import { HostRing } from "../../src/hashing/host_ring.ts";

const names = fc.uniqueArray(fc.string({ minLength: 1 }), { maxLength: 30 });
const position = fc.integer({ min: 0, max: 2 ** 32 - 1 });

test("successors are distinct, as many as requested or all, and independent of the order of the given names", (t) => {
  const isDistinctAndStable = fc.property(
    names,
    position,
    (all, keyPosition) => {
      const following = HostRing.create(all).getFollowing(keyPosition, 2);
      const again = HostRing.create([...all].reverse()).getFollowing(
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
    const [first] = HostRing.create(all).getFollowing(keyPosition, 1);
    const rest = all.filter((name, index) => index > 0 || name === first);
    return HostRing.create(rest).getFollowing(keyPosition, 1)[0] === first;
  });
  t.notThrows(() => fc.assert(staysInPlace, { seed: 2, numRuns: 1_000 }));
});
