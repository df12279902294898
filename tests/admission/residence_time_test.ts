import test from "ava";
import { ResidenceTime } from "../../src/admission/residence_time.ts";

test("long requests weigh more in the mean of requests in flight than in the mean of all requests", (t) => {
  const residenceTime = ResidenceTime.create();
  t.is(residenceTime.meanMs, undefined);
  t.is(residenceTime.inFlightMeanMs, undefined);
  residenceTime.recordDuration(100);
  residenceTime.recordDuration(900);
  t.is(residenceTime.meanMs, 500);
  t.is(Math.round(residenceTime.inFlightMeanMs!), 820);
});
