import test from "ava";
import fc from "fast-check";
import {
  AdvertisedLoads,
  getMaximumUnadvertised,
} from "../../src/owner/advertised_loads.ts";

test("an upstream's load exceeds the advertised load by less than a new owner assumes", (t) => {
  const changes = fc.array(fc.array(fc.nat({ max: 40 }), {
    minLength: 3,
    maxLength: 3,
  }));
  fc.assert(
    fc.property(changes, (rounds) => {
      const advertisedLoads = AdvertisedLoads.create();
      let advertised = [0, 0, 0];
      for (const loads of rounds) {
        const isAdvertised = advertisedLoads.update(
          loads.map((load, index) => ({ upstreamId: `e-${index}`, load })),
        );
        if (isAdvertised) advertised = loads;
        loads.forEach((load, index) => {
          t.true(
            load - advertised[index]! <
              getMaximumUnadvertised(advertised[index]!),
          );
        });
      }
    }),
    { seed: 7 },
  );
});

test("the growth of one upstream is advertised even if another's load fell by as much", (t) => {
  const advertisedLoads = AdvertisedLoads.create();
  const update = (a: number, b: number) =>
    advertisedLoads.update([
      { upstreamId: "a", load: a },
      { upstreamId: "b", load: b },
    ]);
  t.true(update(6, 0));
  t.true(update(2, 4));
});
