import test from "ava";
import { readClock } from "../../src/clock/clock.ts";
import { GracefulStop } from "../../src/gateway/graceful_stop.ts";

/** Far more than this test takes, so that none of its decisions depends on the time. */
const LIMIT_MS = 1_000_000;

function startStop(): GracefulStop {
  const stop = GracefulStop.create();
  stop.start(LIMIT_MS);
  return stop;
}

test("before a stop there is no limit", (t) => {
  const stop = GracefulStop.create();
  t.false(stop.hasStarted);
  t.false(stop.shouldCloseConnections);
  t.is(stop.remainingMs, Infinity);
  t.is(stop.exitWithinMs, Infinity);
});

test("calls may finish within most of the time limit", (t) => {
  const stop = startStop();
  t.true(stop.remainingMs > 0.9 * LIMIT_MS);
  t.true(stop.remainingMs < stop.exitWithinMs);
  t.true(stop.exitWithinMs <= LIMIT_MS);
});

// Guards against a process that is killed because it counted the time of its stop from when it handled the signal.
test("a stop counts from its signal, also if that was handled late", (t) => {
  const stop = GracefulStop.create();
  stop.start(LIMIT_MS, readClock() - LIMIT_MS / 2);
  t.true(stop.remainingMs < LIMIT_MS / 2);
  t.true(stop.exitWithinMs <= LIMIT_MS / 2);
  t.true(stop.shouldCloseConnections);
});

test("a repeated start does not prolong the stop", (t) => {
  const stop = startStop();
  stop.start(3 * LIMIT_MS);
  t.true(stop.remainingMs <= LIMIT_MS);
});

test("an ended stop leaves no time for calls", (t) => {
  const stop = startStop();
  stop.end();
  t.is(stop.remainingMs, 0);
  t.is(stop.getElapsedMs(readClock()), Infinity);
  t.true(stop.exitWithinMs > 0);
});
