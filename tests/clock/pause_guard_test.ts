import test from "ava";
import { PauseGuard } from "../../src/clock/pause_guard.ts";

const GAP_MS = 5_000;
/** Resolution of the wall clock, in milliseconds. */
const WALL_CLOCK_RESOLUTION_MS = 2;

test.serial("a pause guard detects a suspension during which the monotonic clock stopped", (t) => {
  const readWallClock = Date.now;
  const gaps: number[] = [];
  const guard = PauseGuard.create(1_000, (gapMs) => gaps.push(gapMs));
  t.true(guard.isFresh());
  Date.now = () => readWallClock() + GAP_MS;
  try {
    t.false(guard.isFresh());
    t.is(gaps.length, 1);
    t.true(gaps[0]! >= GAP_MS - WALL_CLOCK_RESOLUTION_MS);
    guard.markHeard();
    t.true(guard.isFresh());
  } finally {
    Date.now = readWallClock;
    guard.close();
  }
});
