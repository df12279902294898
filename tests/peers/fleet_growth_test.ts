import test from "ava";
import { FleetGrowth } from "../../src/peers/fleet_growth.ts";

/** Interval between two samples, in milliseconds. */
const INTERVAL_MS = 200;

/** Records counts of known hosts, one per interval; returns the time of the last one. */
function record(growth: FleetGrowth, counts: readonly number[]): number {
  for (const [index, hosts] of counts.entries()) {
    growth.record(hosts, index * INTERVAL_MS);
  }
  return (counts.length - 1) * INTERVAL_MS;
}

test("a host that has just started, or learns of others, does not know the fleet", (t) => {
  const started = FleetGrowth.create(() => true);
  t.false(started.isSettled(0, 0));
  t.false(started.isSettled(20, record(started, [20, 20])));
  const growing = FleetGrowth.create(() => true);
  t.false(growing.isSettled(20, record(growing, [5, 5, 5, 5, 5, 20])));
});

test("a single new host in a large fleet, or lost ones, leave the fleet known", (t) => {
  const growth = FleetGrowth.create(() => true);
  const now = record(growth, [20, 20, 20, 20, 20, 21]);
  t.true(growth.isSettled(21, now));
  t.true(growth.isSettled(11, now));
});

test("a host that knew the fleet still knows it while others join, unless it loses all", (t) => {
  const growth = FleetGrowth.create(() => true);
  const now = record(growth, [3, 3, 3, 3, 3, 3, 4, 9]);
  t.true(growth.isSettled(9, now));
  t.false(growth.isSettled(0, now));
});

test("a host that knows no other knows the fleet only if it expects none", (t) => {
  for (const expectsOthers of [true, false]) {
    const growth = FleetGrowth.create(() => expectsOthers);
    const now = record(growth, [0, 0, 0, 0, 0, 0, 0]);
    t.is(growth.isSettled(0, now), !expectsOthers);
  }
});
