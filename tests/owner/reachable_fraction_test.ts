import test from "ava";
import { ReachableFraction } from "../../src/owner/reachable_fraction.ts";
import { hasRoom } from "../../src/owner/load_bound.ts";

/** The only upstream of an idle pool, with three slots. */
const IDLE = { boundMultiple: 2, minimumCap: 4, slots: 3, mean: 0 };

/** Returns how many requests a router may have running on that upstream at once. */
function countStartable(reachableFraction: number): number {
  let own = 0;
  while (hasRoom({ ...IDLE, reachableFraction }, { own, foreign: 0 })) own += 1;
  return own;
}

test("a router that briefly lost contact with the only other one uses one slot of three for three seconds", (t) => {
  const fraction = ReachableFraction.create();
  t.is(countStartable(fraction.update(1, 0)), 3);
  t.is(countStartable(fraction.update(0.5, 100)), 1);
  t.is(countStartable(fraction.update(1, 200)), 1);
  t.is(countStartable(fraction.update(1, 3_100)), 1);
  t.is(countStartable(fraction.update(1, 3_200)), 3);
});
