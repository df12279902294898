import test from "ava";
import { PauseGuard } from "../../src/clock/pause_guard.ts";

const GAP_MS = 5_000;
/** What the time of day tells no more exactly than, in milliseconds. */
const RESOLUTION_MS = 2;

test.serial("a guard notices a suspension, though the steady clock stood still", (t) => {
  const readTimeOfDay = Date.now;
  const gaps: number[] = [];
  const guard = PauseGuard.create(1_000, (gapMs) => gaps.push(gapMs));
  t.true(guard.isFresh());
  Date.now = () => readTimeOfDay() + GAP_MS;
  try {
    t.false(guard.isFresh());
    t.is(gaps.length, 1);
    t.true(gaps[0]! >= GAP_MS - RESOLUTION_MS);
    guard.markHeard();
    t.true(guard.isFresh());
  } finally {
    Date.now = readTimeOfDay;
    guard.close();
  }
});
