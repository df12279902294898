import test from "ava";
import { ReachableShare } from "../../src/owner/heard_share.ts";
import { hasRoom } from "../../src/owner/load_bound.ts";

/** An idle pool's only upstream with three places. */
const BOUND = { boundMultiple: 2, minimumCap: 4, slots: 3, mean: 0 };

/** Requests that a router starts there, each while the ones before run. */
function countStartable(reachableShare: number): number {
  let own = 0;
  while (hasRoom({ ...BOUND, reachableShare }, { own, foreign: 0 })) own += 1;
  return own;
}

test("a router that missed the other of two for a moment uses one place of three for three seconds", (t) => {
  const share = ReachableShare.create();
  t.is(countStartable(share.update(1, 0)), 3);
  t.is(countStartable(share.update(0.5, 100)), 1);
  t.is(countStartable(share.update(1, 200)), 1);
  t.is(countStartable(share.update(1, 3_100)), 1);
  t.is(countStartable(share.update(1, 3_200)), 3);
});
