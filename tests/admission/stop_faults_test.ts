import test from "ava";
import {
  decideAtStop,
  getUsableMs,
  type StopInputs,
} from "../../src/admission/decide_at_stop.ts";
import { DurationDistribution } from "../../src/admission/duration_distribution.ts";
import { Random } from "../../src/random/random.ts";

const LIMIT_MS = 8_000;
/** Time after the signal until which a cut may be excused, in milliseconds. */
const EARLY_MS = 3_000;
const KIND = "r";
const SEEDS = 100;
const PAUSE_MS = 40;
const DEADLINE_MS = 12_000;

const EARLY: StopInputs = {
  elapsedMs: 500,
  limitMs: LIMIT_MS,
  deadlineMs: DEADLINE_MS,
  endProbability: 0.9,
  callersLeaveWithinMs: 2_880,
  mayRunAgain: true,
  hasOtherHost: true,
};

/** Counts the requests sent late in a stop that it accepts and that outlast it, at a host without others. */
function countLateCuts(
  getDurationMs: (random: Random, now: number) => number,
): number {
  let cut = 0;
  for (let seed = 1; seed <= SEEDS; seed++) {
    const random = Random.create(seed);
    const distribution = DurationDistribution.create();
    let open: { endsMs: number; durationMs: number }[] = [];
    for (let now = -6_000; now < LIMIT_MS; now += PAUSE_MS) {
      for (const { endsMs, durationMs } of open) {
        if (endsMs <= now) distribution.record(KIND, { durationMs });
      }
      open = open.filter(({ endsMs }) => endsMs > now);
      const durationMs = getDurationMs(random, now);
      const endsMs = now + durationMs;
      const usableMs = getUsableMs(now, LIMIT_MS);
      const decision = now < 0 ? "certain" : decideAtStop({
        elapsedMs: now,
        limitMs: LIMIT_MS,
        deadlineMs: DEADLINE_MS,
        endProbability: distribution.getEndProbability(
          KIND,
          { deadlineMs: DEADLINE_MS },
          usableMs,
        ),
        callersLeaveWithinMs: EARLY.callersLeaveWithinMs,
        mayRunAgain: true,
        hasOtherHost: false,
      });
      if (decision === "refused") continue;
      open.push({ endsMs, durationMs });
      if (now > EARLY_MS && endsMs > getUsableMs(0, LIMIT_MS)) cut += 1;
    }
  }
  return cut;
}

// Guards against late requests that are accepted because the last ones of their kind were short, and are cut.
test("the last host does not cut late requests when a few of a kind take far longer than the others", (t) => {
  const cut = countLateCuts((random) =>
    random.integer(1, 50) === 1 ? 6_000 : 20
  );
  t.is(cut, 0);
});

test("the last host does not cut late requests when all take far longer from some moment of the stop on", (t) => {
  t.is(countLateCuts((_random, now) => now > 2_500 ? 6_000 : 60), 0);
});

// Guards against a longer stop that accepts requests by an estimate when callers have long left.
test("a longer stop does not accept uncertain requests for longer", (t) => {
  for (const limitMs of [8_000, 12_000, 20_000]) {
    const inputs = { ...EARLY, limitMs, deadlineMs: 2 * limitMs };
    const decision = decideAtStop({ ...inputs, elapsedMs: EARLY_MS + 1 });
    t.is(decision, "refused", `limit ${limitMs}`);
  }
});

// Guards against requests that a host refuses from the first moment of its stop, because it knows no durations yet.
test("a request of an unknown duration is accepted early in a stop, however late its deadline", (t) => {
  const distribution = DurationDistribution.create();
  const deadlineMs = 60_000;
  const endProbability = distribution.getEndProbability(
    KIND,
    { deadlineMs },
    getUsableMs(EARLY.elapsedMs, LIMIT_MS),
  );
  t.is(
    decideAtStop({ ...EARLY, deadlineMs, endProbability }),
    "likely",
  );
});

// Guards against a cut that leaves its caller no time to repeat the request elsewhere.
test("a request that likely does not end is refused if a cut leaves no time to repeat it", (t) => {
  const deadlineMs = getUsableMs(EARLY.elapsedMs, LIMIT_MS) + 1;
  t.is(decideAtStop({ ...EARLY, deadlineMs, endProbability: 0.3 }), "refused");
});

// Guards against streams that are refused because slower streams run at the same service.
test("a stream of a fast route is accepted although slower streams of another route run at its service", (t) => {
  const distribution = DurationDistribution.create();
  const fast = { durationMs: 1_350, pauses: 89, pauseMs: 15 };
  for (let call = 0; call < 20; call++) distribution.record(KIND, fast);
  const endProbability = distribution.getEndProbability(
    KIND,
    { deadlineMs: DEADLINE_MS, paceRatio: 1 },
    getUsableMs(EARLY.elapsedMs, LIMIT_MS),
  );
  t.is(decideAtStop({ ...EARLY, endProbability }), "likely");
});
