import test from "ava";
import type { PathTarget } from "../../src/paths/path_target.ts";
import {
  RECHECK_PACE_MS,
  RecheckSchedule,
} from "../../src/paths/recheck_schedule.ts";
import { UpstreamPath } from "../../src/paths/upstream_path.ts";
import { VirtualTimeline } from "../clock/virtual_timeline.ts";

function createTarget(instanceHash: number): PathTarget {
  return {
    id: `u-${instanceHash}`,
    instanceHash,
    address: "",
    lastReceivedAt: 0,
    isRemoved: false,
    path: UpstreamPath.create(),
  };
}

/** Creates a schedule and records the ids of the targets that it checks. */
function createSchedule() {
  const timeline = VirtualTimeline.create();
  const checked: string[] = [];
  const schedule = RecheckSchedule.create(
    timeline,
    ({ id }) => checked.push(id),
  );
  return { timeline, checked, schedule };
}

test("a lost path is checked soon, then less and less often", (t) => {
  const { timeline, checked, schedule } = createSchedule();
  schedule.start(createTarget(1));
  timeline.runUntil(200);
  t.is(checked.length, 0);
  timeline.runUntil(10_000);
  t.true(checked.length >= 9 && checked.length <= 12, `${checked.length}`);
});

test("many lost paths are checked at a bounded rate, and each of them is", (t) => {
  const { timeline, checked, schedule } = createSchedule();
  const targets = Array.from(
    { length: 500 },
    (_, index) => createTarget(index),
  );
  for (const target of targets) schedule.start(target);
  const durationMs = 12_000;
  for (let now = 1_000; now < durationMs; now += 1_000) {
    timeline.runUntil(now);
    for (const target of targets) schedule.expedite(target);
  }
  timeline.runUntil(durationMs);
  t.true(checked.length <= durationMs / RECHECK_PACE_MS, `${checked.length}`);
  t.is(new Set(checked).size, targets.length);
});

test("a path that is back is not checked any more, also if its check is due", (t) => {
  const { timeline, checked, schedule } = createSchedule();
  const targets = [createTarget(1), createTarget(2)];
  for (const target of targets) schedule.expedite(target);
  schedule.cancel(2);
  timeline.runUntil(5_000);
  t.false(checked.includes("u-2"));
  t.true(checked.includes("u-1"));
});

// Guards against timers that keep a closed host's process from exiting because a connection failed after the close.
test("no check starts after the schedule was closed", (t) => {
  const { timeline, checked, schedule } = createSchedule();
  schedule.close();
  schedule.start(createTarget(1));
  timeline.runUntil(10_000);
  t.deepEqual(checked, []);
});
