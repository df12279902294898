import fc from "fast-check";
import test from "ava";
import { computeCap, hasRoom } from "../../src/owner/load_bound.ts";

const bound = fc.record({
  boundMultiple: fc.double({ min: 1.25, max: 4, noNaN: true }),
  minimumCap: fc.integer({ min: 1, max: 10 }),
  slots: fc.integer({ min: 1, max: 200 }),
  mean: fc.double({ min: 0, max: 100, noNaN: true }),
  reachableFraction: fc.constant(1),
});

test("the cap exceeds neither the guaranteed bound nor the slots", (t) => {
  const property = fc.property(bound, (one) => {
    const guaranteed = Math.max(
      one.minimumCap,
      Math.ceil(one.boundMultiple * one.mean),
    );
    return computeCap(one) <= Math.min(guaranteed, one.slots) &&
      computeCap(one) >= 1;
  });
  t.notThrows(() => fc.assert(property, { seed: 1, numRuns: 2_000 }));
});

// Another router may start a request without the owner knowing. At means of 1.9 to 2 the owner used all four slots of
// the guaranteed bound.
test("the cap leaves one slot of the guaranteed bound for another router", (t) => {
  const property = fc.property(bound, (one) => {
    const guaranteed = Math.max(
      one.minimumCap,
      Math.ceil(one.boundMultiple * one.mean),
    );
    return computeCap(one) <= Math.max(1, guaranteed - 1);
  });
  t.notThrows(() => fc.assert(property, { seed: 4, numRuns: 2_000 }));
});

test("both sides of a network partition together start no more than one side may", (t) => {
  const routers = fc.integer({ min: 2, max: 9 });
  const property = fc.property(
    bound,
    routers,
    fc.integer({ min: 1, max: 8 }),
    (one, listed, cut) => {
      const smaller = Math.min(cut, listed - 1);
      const sides = [smaller / listed, (listed - smaller) / listed];
      const started = sides.map((reachableFraction) => {
        let own = 0;
        while (
          own < 1_000 &&
          hasRoom({ ...one, reachableFraction }, { own, foreign: 0 })
        ) own += 1;
        return own;
      });
      return started[0]! + started[1]! <= Math.max(2, computeCap(one));
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 2, numRuns: 2_000 }));
});

test("an idle upstream may always take one request", (t) => {
  const property = fc.property(
    bound,
    fc.double({ min: 0.01, max: 1, noNaN: true }),
    (one, reachableFraction) =>
      hasRoom({ ...one, reachableFraction }, { own: 0, foreign: 0 }),
  );
  t.notThrows(() => fc.assert(property, { seed: 3, numRuns: 500 }));
});
