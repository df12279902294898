import test from "ava";
import { CallDurations } from "../../src/admission/call_durations.ts";
import { Random } from "../../src/random/random.ts";

const ROUTE = "r";
/** Median duration of a call and spread of its logarithm. */
const MEDIAN_MS = 1_000;
const SPREAD = 0.44;
/** Mean of that log-normal distribution, in milliseconds. */
const MEAN_MS = MEDIAN_MS * Math.exp(SPREAD ** 2 / 2);

/** Draws a duration from a log-normal distribution. */
function drawDuration(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  const angle = 2 * Math.PI * random.fraction();
  return MEDIAN_MS * Math.exp(SPREAD * radius * Math.cos(angle));
}

test("the duration of a route without answered calls is not known", (t) => {
  t.is(CallDurations.create().getMeanMs(ROUTE), undefined);
});

test("calls that take equally long are expected to", (t) => {
  const durations = CallDurations.create();
  for (let call = 0; call < 60; call++) durations.record(ROUTE, 200);
  t.is(durations.getMeanMs(ROUTE), 200);
  t.is(durations.getMeanMs("other"), undefined);
});

test("the mean duration of a route is near that of its calls", (t) => {
  let sumMs = 0;
  const seeds = 200;
  for (let seed = 1; seed <= seeds; seed++) {
    const random = Random.create(seed);
    const durations = CallDurations.create();
    for (let call = 0; call < 200; call++) {
      durations.record(ROUTE, drawDuration(random));
    }
    sumMs += durations.getMeanMs(ROUTE)!;
  }
  const ratio = sumMs / seeds / MEAN_MS;
  t.true(ratio > 0.97 && ratio < 1.03, String(ratio));
});
