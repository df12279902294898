import fc from "fast-check";
import test from "ava";
import { HostRing } from "../../src/hashing/host_ring.ts";

const names = fc.uniqueArray(fc.string({ minLength: 1 }), { maxLength: 30 });
const position = fc.integer({ min: 0, max: 2 ** 32 - 1 });

test("a ring names different names, as many as asked for or all, in an order that is the same for the same names", (t) => {
  const keeps = fc.property(names, position, (all, at) => {
    const following = HostRing.create(all).getFollowing(at, 2);
    const again = HostRing.create([...all].reverse()).getFollowing(at, 2);
    return following.length === Math.min(2, all.length) &&
      new Set(following).size === following.length &&
      following.join("|") === again.join("|");
  });
  t.notThrows(() => fc.assert(keeps, { seed: 1, numRuns: 1_000 }));
});

test("where a name goes, a key that was not its own stays", (t) => {
  const keeps = fc.property(names, position, (all, at) => {
    const [first] = HostRing.create(all).getFollowing(at, 1);
    const rest = all.filter((name, index) => index > 0 || name === first);
    return HostRing.create(rest).getFollowing(at, 1)[0] === first;
  });
  t.notThrows(() => fc.assert(keeps, { seed: 2, numRuns: 1_000 }));
});
