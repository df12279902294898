import test from "ava";
import { PauseDetector } from "../../src/clock/pause_detector.ts";

const GAP_MS = 5_000;
/** Resolution of the wall clock, in milliseconds. */
const WALL_CLOCK_RESOLUTION_MS = 2;

test.serial("a suspension is detected although the monotonic clock stopped", (t) => {
  const readWallClock = Date.now;
  const gaps: number[] = [];
  const detector = PauseDetector.create(1_000, (gapMs) => gaps.push(gapMs));
  t.true(detector.isFresh());
  Date.now = () => readWallClock() + GAP_MS;
  try {
    t.false(detector.isFresh());
    t.is(gaps.length, 1);
    t.true(gaps[0]! >= GAP_MS - WALL_CLOCK_RESOLUTION_MS);
    detector.markFresh();
    t.true(detector.isFresh());
  } finally {
    Date.now = readWallClock;
    detector.close();
  }
});
