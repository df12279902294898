import test from "ava";
import fc from "fast-check";
import {
  AdvertisedLoads,
  getMaximumUnadvertised,
} from "../../src/owner/told_loads.ts";

test("an upstream's load never exceeds what was told by as much as a new owner counts for it", (t) => {
  const changes = fc.array(fc.array(fc.nat({ max: 40 }), {
    minLength: 3,
    maxLength: 3,
  }));
  fc.assert(
    fc.property(changes, (rounds) => {
      const toldLoads = AdvertisedLoads.create();
      let told = [0, 0, 0];
      for (const loads of rounds) {
        const isTold = toldLoads.update(
          loads.map((load, index) => ({ upstreamId: `e-${index}`, load })),
        );
        if (isTold) told = loads;
        loads.forEach((load, index) => {
          t.true(load - told[index]! < getMaximumUnadvertised(told[index]!));
        });
      }
    }),
    { seed: 7 },
  );
});

test("one upstream's growth is told though another's load fell by as much", (t) => {
  const toldLoads = AdvertisedLoads.create();
  const note = (a: number, b: number) =>
    toldLoads.update([
      { upstreamId: "a", load: a },
      { upstreamId: "b", load: b },
    ]);
  t.true(note(6, 0));
  t.true(note(2, 4));
});
