import test from "ava";
import {
  decideAtStop,
  getUsableMs,
  type StopInputs,
} from "../../src/admission/decide_at_stop.ts";
import { STREAM_DURATIONS } from "../../soak/stream_durations.ts";
import {
  LIMIT_MS,
  playVirtualStop,
  type VirtualStopRequest,
} from "./virtual_stop.ts";

/** Seeds of each distribution. */
const SEEDS = 1_000;
/** Time after the signal until which callers may still send to the host, in milliseconds. */
const EARLY_MS = 3_000;
/** Fraction of the requests that would end in time which must be served. */
const SERVED_FRACTION = 0.9;

/** A request that arrives early in a stop, whose deadline lies after it. */
const EARLY: StopInputs = {
  elapsedMs: 1_000,
  limitMs: LIMIT_MS,
  deadlineMs: 12_000,
  endProbability: 0.8,
  callersLeaveWithinMs: 2_880,
  mayRunAgain: true,
  hasOtherHost: true,
};

test("a request whose deadline lies before the end of the stop is accepted until then", (t) => {
  for (const elapsedMs of [0, 3_000, 6_000]) {
    const deadlineMs = getUsableMs(elapsedMs, LIMIT_MS);
    const inputs = { ...EARLY, elapsedMs, endProbability: 0 };
    t.is(decideAtStop({ ...inputs, deadlineMs }), "certain");
    t.not(
      decideAtStop({ ...inputs, deadlineMs: deadlineMs + 1 }),
      "certain",
    );
  }
});

test("an early request is accepted if it likely ends, and more readily if it can be repeated", (t) => {
  t.is(decideAtStop(EARLY), "likely");
  t.is(decideAtStop({ ...EARLY, endProbability: 0.1 }), "refused");
  const once = { ...EARLY, mayRunAgain: false };
  t.is(decideAtStop({ ...once, endProbability: 0.6 }), "refused");
  t.is(decideAtStop({ ...once, endProbability: 0.8 }), "likely");
});

test("an early request that no other host takes is accepted if it may end", (t) => {
  const alone = { ...EARLY, hasOtherHost: false };
  t.is(decideAtStop({ ...alone, endProbability: 0.1 }), "likely");
  t.is(
    decideAtStop({ ...alone, endProbability: 0.5, mayRunAgain: false }),
    "likely",
  );
});

test("a late request is refused however likely it ends, also if no other host takes it", (t) => {
  const late = { ...EARLY, elapsedMs: 4_000, endProbability: 1 };
  t.is(decideAtStop(late), "refused");
  t.is(decideAtStop({ ...late, hasOtherHost: false }), "refused");
});

test("a request is late when callers have left, and after part of a short stop", (t) => {
  const left = { ...EARLY, elapsedMs: 2_900, endProbability: 1 };
  t.is(
    decideAtStop({ ...left, limitMs: 30_000, deadlineMs: 40_000 }),
    "refused",
  );
  t.is(decideAtStop({ ...left, elapsedMs: 1_900, limitMs: 5_000 }), "refused");
});

function isCut({ decision, endsMs }: VirtualStopRequest): boolean {
  return decision !== "refused" && endsMs > getUsableMs(0, LIMIT_MS);
}

for (const durations of Object.keys(STREAM_DURATIONS)) {
  // Guards against late requests that a stop cuts, and against early ones that are refused although they would end.
  test(`no late request is cut and nine of ten early ones that would end are served: ${durations}`, (t) => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const requests = playVirtualStop({ seed, durations });
      const lateCut = requests.filter((request) =>
        request.sentMs > EARLY_MS && isCut(request)
      );
      t.is(lateCut.length, 0, `seed ${seed}`);
      const ending = requests.filter(({ sentMs, endsMs }) =>
        sentMs <= EARLY_MS && endsMs <= getUsableMs(0, LIMIT_MS)
      );
      const served = ending.filter(({ decision }) => decision !== "refused");
      t.true(
        served.length >= SERVED_FRACTION * ending.length,
        `seed ${seed}: ${served.length} of ${ending.length}`,
      );
    }
  });
}

test("no late request is cut if nothing is known, if requests run once, or if no other host takes them", (t) => {
  const cases = [
    { hasHistory: false },
    { mayRunAgain: false },
    { hasOtherHost: false },
  ];
  for (const options of cases) {
    for (const durations of Object.keys(STREAM_DURATIONS)) {
      for (let seed = 1; seed <= SEEDS / 10; seed++) {
        const requests = playVirtualStop({ seed, durations, ...options });
        const lateCut = requests.filter((request) =>
          request.sentMs > EARLY_MS && isCut(request)
        );
        t.is(lateCut.length, 0, `${durations}, seed ${seed}`);
      }
    }
  }
});

// Guards against chats that run once and are refused early in a stop, although most of them would end in time.
test("nine of ten early requests that would end are served if they run once and their durations have a long tail", (t) => {
  for (let seed = 1; seed <= SEEDS / 10; seed++) {
    const requests = playVirtualStop({
      seed,
      durations: "long_tailed",
      mayRunAgain: false,
    });
    const ending = requests.filter(({ sentMs, endsMs }) =>
      sentMs <= EARLY_MS && endsMs <= getUsableMs(0, LIMIT_MS)
    );
    const served = ending.filter(({ decision }) => decision !== "refused");
    t.true(
      served.length >= SERVED_FRACTION * ending.length,
      `seed ${seed}: ${served.length} of ${ending.length}`,
    );
  }
});
