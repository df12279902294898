import test from "ava";
import { GracefulStop } from "../../src/gateway/graceful_stop.ts";

/** Far more than this test takes, so that none of its decisions depends on the time. */
const LIMIT_MS = 1_000_000;

function startStop(): GracefulStop {
  const stop = GracefulStop.create();
  stop.start(LIMIT_MS);
  return stop;
}

test("before a stop any call can finish", (t) => {
  const stop = GracefulStop.create();
  t.true(stop.canFinish({ longMs: Infinity, deadlineMs: Infinity }));
  t.is(stop.remainingMs, Infinity);
});

test("a call can finish if its route's calls or its deadline end before the stop", (t) => {
  const stop = startStop();
  t.true(stop.canFinish({ longMs: LIMIT_MS / 2, deadlineMs: Infinity }));
  t.true(stop.canFinish({ longMs: Infinity, deadlineMs: LIMIT_MS / 2 }));
  t.false(stop.canFinish({ longMs: LIMIT_MS, deadlineMs: Infinity }));
});

test("a call of unknown duration is accepted while callers may have the address", (t) => {
  t.true(startStop().canFinish({ longMs: undefined, deadlineMs: Infinity }));
});

test("a repeated start does not prolong the stop", (t) => {
  const stop = startStop();
  stop.start(3 * LIMIT_MS);
  t.true(stop.remainingMs <= LIMIT_MS);
});
