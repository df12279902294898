import test from "ava";
import { ArrivalRate } from "../../src/admission/arrival_rate.ts";
import { AdmissionController } from "../../src/admission/admission_controller.ts";
import { Random } from "../../src/random/random.ts";

const PART = 7;

function createTarget(foreign: number) {
  return {
    bound: 20,
    own: 1,
    foreign,
    countAgeMs: 500,
    otherHosts: 20,
    popularArrivals: ArrivalRate.create(),
  };
}

function countStarts(isPopular: boolean, foreign: number): number {
  const admission = AdmissionController.create(Random.create(1));
  admission.recordCompletion("s", "r", 1_000);
  const target = createTarget(foreign);
  const request = { service: "s", route: "r", isPopular };
  let starts = 0;
  for (let now = 0; now < 10_000; now += 100) {
    starts += Number(admission.admits(request, target, now));
  }
  return starts;
}

test("a prompt is popular once it has been requested more than once within a short time", (t) => {
  const admission = AdmissionController.create(Random.create(1));
  t.false(admission.recordRequest(PART, 0));
  t.true(admission.recordRequest(PART, 300));
  t.false(admission.recordRequest(PART, 10_000));
  t.false(admission.recordRequest(PART + 1, 10_001));
});

test("a request for an unpopular prompt is admitted wherever there is headroom", (t) => {
  t.is(countStarts(false, 5), 100);
  t.is(countStarts(false, 19), 0);
});

test("hosts that compete for an engine with popular prompts share its headroom", (t) => {
  const starts = countStarts(true, 5);
  t.true(starts > 0 && starts < 30, String(starts));
});
