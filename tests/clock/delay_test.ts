import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { readClock } from "../../src/clock/clock.ts";
import { PauseDetector } from "../../src/clock/pause_detector.ts";

/** Far more than this test takes. */
const THRESHOLD_MS = 1_000_000;
const TICK_INTERVAL_MS = 250;

/** Keeps the process busy. */
function block(durationMs: number): void {
  const endsAt = readClock() + durationMs;
  while (readClock() < endsAt);
}

// Guards against a stop whose time begins late because the process was busy when it was signaled.
test.serial("an event that had to wait for a busy process is known to have waited", async (t) => {
  for (const blockMs of [230, 400, 1_000]) {
    const detector = PauseDetector.create(
      THRESHOLD_MS,
      () => undefined,
      TICK_INTERVAL_MS,
    );
    await delay(TICK_INTERVAL_MS / 5);
    block(blockMs);
    await new Promise((resolve) => setImmediate(resolve));
    t.true(detector.delayMs >= blockMs, `${blockMs} ms`);
    detector.close();
  }
});
