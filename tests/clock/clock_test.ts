import test from "ava";
import fc from "fast-check";
import { Clock } from "../../src/clock/clock.ts";
import { Freshness } from "../../src/published/freshness.ts";

const DAY_START = 1_764_000_000_000;

/** A clock whose sources the test sets. */
function createClock() {
  const time = { steady: 1_000, ofDay: DAY_START };
  const clock = Clock.create(() => time.steady, () => time.ofDay);
  const jumps: number[] = [];
  clock.watch((jumpMs) => jumps.push(jumpMs));
  const run = (milliseconds: number) => {
    time.steady += milliseconds;
    time.ofDay += milliseconds;
  };
  const suspend = (milliseconds: number) => time.ofDay += milliseconds;
  return { clock, jumps, run, suspend };
}

test("a clock counts the time for which its machine was suspended, with the first reading after it", (t) => {
  for (const gapMs of [200, 1_000, 30_000]) {
    const { clock, jumps, run, suspend } = createClock();
    run(500);
    const before = clock.read();
    suspend(gapMs);
    run(3);
    t.is(clock.read() - before, gapMs + 3);
    t.deepEqual(jumps, [gapMs]);
  }
});

test("a step back of the time of day changes nothing, and the way forward again counts as a suspension", (t) => {
  const { clock, jumps, run, suspend } = createClock();
  const before = clock.read();
  suspend(-2_000);
  run(10);
  t.is(clock.read() - before, 10);
  suspend(2_000);
  run(10);
  t.is(clock.read() - before, 2_020);
  t.deepEqual(jumps, [-2_000, 2_000]);
});

test("what two clocks differ by when they are read one after the other adds up to nothing", (t) => {
  const { clock, jumps, run, suspend } = createClock();
  const before = clock.read();
  for (let count = 0; count < 1_000; count++) {
    run(10);
    suspend(count % 2 === 0 ? 1 : -1);
    clock.read();
  }
  t.is(clock.read() - before, 10_000);
  t.deepEqual(jumps, []);
});

test("a clock never goes back, whatever its sources do", (t) => {
  const steps = fc.array(
    fc.tuple(
      fc.nat({ max: 5_000 }),
      fc.integer({ min: -40_000, max: 40_000 }),
    ),
  );
  const property = fc.property(steps, (moves) => {
    const { clock, run, suspend } = createClock();
    let last = clock.read();
    return moves.every(([ranMs, jumpMs]) => {
      run(ranMs);
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

test("what was heard before a suspension is as old as it is, and so is an answer to what was asked before", (t) => {
  const { clock, run, suspend } = createClock();
  const freshness = Freshness.create();
  freshness.confirm(clock.read());
  run(100);
  const askedAt = clock.read();
  suspend(10_000);
  freshness.confirm(askedAt);
  t.is(freshness.getAge(clock.read()), 10_000);
});
