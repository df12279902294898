import fc from "fast-check";
import test from "ava";
import {
  computeAdmissionProbability,
  computeCompletedFraction,
  computeHeadroom,
  type UpstreamLoad,
} from "../../src/admission/admission_probability.ts";

const EXACT_LOAD: UpstreamLoad = {
  bound: 13,
  own: 5,
  foreign: 0,
  countAgeMs: 0,
};

const load = fc.record({
  bound: fc.double({ min: 3, max: 200, noNaN: true }),
  own: fc.nat(50),
  foreign: fc.nat(200),
  countAgeMs: fc.nat(5_000),
});
const inFlightMean = fc.option(
  fc.double({ min: 1, max: 10_000, noNaN: true }),
  {
    nil: undefined,
  },
);

test("with exact counts a host starts requests up to the bound and not beyond", (t) => {
  t.true(computeHeadroom({ ...EXACT_LOAD, own: 12 }, undefined) >= 0);
  t.true(computeHeadroom({ ...EXACT_LOAD, own: 12.5 }, undefined) < 0);
});

test("headroom never exceeds the remaining capacity below the bound, and shrinks as counts age", (t) => {
  const shrinksWithAge = fc.property(
    load,
    inFlightMean,
    fc.nat(5_000),
    (current, inFlightMeanMs, additionalAgeMs) => {
      const headroom = Math.max(0, computeHeadroom(current, inFlightMeanMs));
      const countAgeMs = current.countAgeMs + additionalAgeMs;
      const olderHeadroom = Math.max(
        0,
        computeHeadroom({ ...current, countAgeMs }, inFlightMeanMs),
      );
      return headroom <=
          Math.max(0, current.bound - current.own - current.foreign - 1) &&
        olderHeadroom <= headroom + 1e-6;
    },
  );
  t.notThrows(() => fc.assert(shrinksWithAge, { seed: 1, numRuns: 2_000 }));
});

test("all hosts together are expected to fill at most half of the headroom", (t) => {
  const fillsAtMostHalf = fc.property(
    fc.double({ min: -10, max: 100, noNaN: true }),
    fc.double({ min: 0, max: 10_000, noNaN: true }),
    (headroom, unseenStarts) => {
      const probability = computeAdmissionProbability(headroom, unseenStarts);
      const isProbability = probability >= 0 && probability <= 1;
      return isProbability &&
        probability * unseenStarts <= Math.max(0, headroom) / 2 + 1e-6;
    },
  );
  t.notThrows(() => fc.assert(fillsAtMostHalf, { seed: 2, numRuns: 2_000 }));
});

test("a single host starts requests wherever there is headroom", (t) => {
  t.is(computeAdmissionProbability(0, 0), 1);
  t.is(computeAdmissionProbability(-1, 0), 0);
});

test("requests of unknown duration count as completed, unless the counts are exact", (t) => {
  t.is(computeCompletedFraction(100, undefined), 1);
  t.is(computeCompletedFraction(0, undefined), 0);
});
