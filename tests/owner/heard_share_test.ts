import test from "ava";
import { HeardShare } from "../../src/owner/heard_share.ts";
import { hasRoom } from "../../src/owner/load_bound.ts";

/** An idle pool's only upstream with three places. */
const BOUND = { boundMultiple: 2, minimumCap: 4, slots: 3, mean: 0 };

/** Requests that a router starts there, each while the ones before run. */
function countStarted(heardShare: number): number {
  let own = 0;
  while (hasRoom({ ...BOUND, heardShare }, { own, foreign: 0 })) own += 1;
  return own;
}

test("a router that missed the other of two for a moment uses one place of three for three seconds", (t) => {
  const share = HeardShare.create();
  t.is(countStarted(share.get(1, 0)), 3);
  t.is(countStarted(share.get(0.5, 100)), 1);
  t.is(countStarted(share.get(1, 200)), 1);
  t.is(countStarted(share.get(1, 3_100)), 1);
  t.is(countStarted(share.get(1, 3_200)), 3);
});
