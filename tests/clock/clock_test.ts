import test from "ava";
import fc from "fast-check";
import { Clock } from "../../src/clock/clock.ts";
import { FreshnessTracker } from "../../src/published/freshness_tracker.ts";

const START_UNIX_MS = 1_764_000_000_000;

/** Creates a clock whose sources the test controls. */
function createClock() {
  const time = { monotonic: 1_000, wallClock: START_UNIX_MS };
  const clock = Clock.create(() => time.monotonic, () => time.wallClock);
  const jumps: number[] = [];
  clock.onJump((jumpMs) => jumps.push(jumpMs));
  const advance = (milliseconds: number) => {
    time.monotonic += milliseconds;
    time.wallClock += milliseconds;
  };
  const suspend = (milliseconds: number) => time.wallClock += milliseconds;
  return { clock, jumps, advance, suspend };
}

test("the first reading after a suspension counts the time of the suspension", (t) => {
  for (const gapMs of [200, 1_000, 30_000]) {
    const { clock, jumps, advance, suspend } = createClock();
    advance(500);
    const before = clock.read();
    suspend(gapMs);
    advance(3);
    t.is(clock.read() - before, gapMs + 3);
    t.deepEqual(jumps, [gapMs]);
  }
});

test("a backward step of the wall clock is ignored, and the step forward again counts as a suspension", (t) => {
  const { clock, jumps, advance, suspend } = createClock();
  const before = clock.read();
  suspend(-2_000);
  advance(10);
  t.is(clock.read() - before, 10);
  suspend(2_000);
  advance(10);
  t.is(clock.read() - before, 2_020);
  t.deepEqual(jumps, [-2_000, 2_000]);
});

test("small differences from reading two clocks one after the other do not accumulate", (t) => {
  const { clock, jumps, advance, suspend } = createClock();
  const before = clock.read();
  for (let count = 0; count < 1_000; count++) {
    advance(10);
    suspend(count % 2 === 0 ? 1 : -1);
    clock.read();
  }
  t.is(clock.read() - before, 10_000);
  t.deepEqual(jumps, []);
});

test("a clock is monotonic for any jumps of its sources", (t) => {
  const stepLists = fc.array(
    fc.tuple(
      fc.nat({ max: 5_000 }),
      fc.integer({ min: -40_000, max: 40_000 }),
    ),
  );
  const property = fc.property(stepLists, (steps) => {
    const { clock, advance, suspend } = createClock();
    let last = clock.read();
    return steps.every(([advanceMs, jumpMs]) => {
      advance(advanceMs);
      suspend(jumpMs);
      const now = clock.read();
      const isForward = now >= last;
      last = now;
      return isForward;
    });
  });
  fc.assert(property, { seed: 3 });
  t.pass();
});

test("the age of state includes a suspension, also for a response to a request sent before it", (t) => {
  const { clock, advance, suspend } = createClock();
  const freshness = FreshnessTracker.create();
  freshness.confirm(clock.read());
  advance(100);
  const requestedAt = clock.read();
  suspend(10_000);
  freshness.confirm(requestedAt);
  t.is(freshness.getAge(clock.read()), 10_000);
});
