import test from "ava";
import { CallDurations } from "../../src/admission/call_durations.ts";
import { Random } from "../../src/random/random.ts";

const ROUTE = "r";
/** Median duration of a call and spread of its logarithm. */
const MEDIAN_MS = 1_000;
const SPREAD = 0.44;

/** Draws a duration from a log-normal distribution. */
function drawDuration(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  const angle = 2 * Math.PI * random.fraction();
  return MEDIAN_MS * Math.exp(SPREAD * radius * Math.cos(angle));
}

test("the duration of a route without answered calls is not known", (t) => {
  t.is(CallDurations.create().getLongMs(ROUTE), undefined);
});

test("calls that take equally long are expected to", (t) => {
  const durations = CallDurations.create();
  for (let call = 0; call < 60; call++) durations.record(ROUTE, 200);
  t.true(durations.getLongMs(ROUTE)! < 201);
  t.is(durations.getLongMs("other"), undefined);
});

test("few calls take longer than the long duration of their route", (t) => {
  let calls = 0;
  let longer = 0;
  for (let seed = 1; seed <= 200; seed++) {
    const random = Random.create(seed);
    const durations = CallDurations.create();
    for (let call = 0; call < 200; call++) {
      const durationMs = drawDuration(random);
      const longMs = durations.getLongMs(ROUTE);
      durations.record(ROUTE, durationMs);
      if (longMs === undefined) continue;
      calls += 1;
      if (durationMs > longMs) longer += 1;
    }
  }
  t.true(longer < 0.03 * calls, `${longer} of ${calls}`);
});
