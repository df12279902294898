import test from "ava";
import { DurationDistribution } from "../../src/admission/duration_distribution.ts";

const KIND = "r";
const DEADLINE_MS = 10_000;

function recordMany(
  distribution: DurationDistribution,
  count: number,
  durationMs: number,
  more: object = {},
): void {
  for (let call = 0; call < count; call++) {
    distribution.record(KIND, { durationMs, ...more });
  }
}

test("nothing is known of a kind without answered calls", (t) => {
  const distribution = DurationDistribution.create();
  const call = { deadlineMs: DEADLINE_MS };
  t.is(distribution.getEndProbability(KIND, call, 2_500), undefined);
  recordMany(distribution, 1, 6_000);
  t.is(distribution.getEndProbability("other", call, 2_500), undefined);
});

test("a call is as likely to end within a time as those before it were", (t) => {
  const distribution = DurationDistribution.create();
  for (let call = 0; call < 32; call++) {
    recordMany(distribution, 1, 100);
    recordMany(distribution, 1, 6_000);
  }
  const call = { deadlineMs: DEADLINE_MS };
  const probability = distribution.getEndProbability(KIND, call, 1_000)!;
  t.true(probability > 0.4 && probability < 0.6);
});

test("calls with similar length hints count more", (t) => {
  const distribution = DurationDistribution.create();
  recordMany(distribution, 20, 100, { lengthHint: 10 });
  recordMany(distribution, 20, 6_000, { lengthHint: 600 });
  const estimate = (lengthHint: number) =>
    distribution.getEndProbability(
      KIND,
      { deadlineMs: DEADLINE_MS, lengthHint },
      1_000,
    )!;
  t.true(estimate(10) > 0.85);
  t.true(estimate(600) < 0.15);
});

// Guards against streams that are accepted because streams were faster before.
test("streams are expected to take longer when pauses between events become longer", (t) => {
  const distribution = DurationDistribution.create();
  recordMany(distribution, 20, 1_000, { pauses: 9, pauseMs: 100 });
  const estimate = (paceRatio: number | undefined) =>
    distribution.getEndProbability(
      KIND,
      { deadlineMs: DEADLINE_MS, paceRatio },
      2_000,
    )!;
  t.true(estimate(undefined) > 0.9);
  t.true(estimate(1) > 0.9);
  t.true(estimate(4) < 0.1);
});

test("old calls are forgotten", (t) => {
  const distribution = DurationDistribution.create();
  recordMany(distribution, 500, 6_000);
  recordMany(distribution, 64, 100);
  const call = { deadlineMs: DEADLINE_MS };
  t.true(distribution.getEndProbability(KIND, call, 1_000)! > 0.95);
});
