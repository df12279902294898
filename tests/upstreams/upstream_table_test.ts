import { pino } from "pino";
import test from "ava";
import type { Upstream } from "../../src/upstreams/upstream.ts";
import { UpstreamTable } from "../../src/upstreams/upstream_table.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { buildUpstream } from "../published/build_published.ts";

const LISTED = { id: "u", revision: 1, upstream: buildUpstream({ id: "u" }) };
const GONE = { id: "u", revision: 2, upstream: undefined };

/** Creates a table.
 * @param lapsesForMs Time left in which missing entries may only have lapsed. */
function createTable(
  lapsesForMs: number,
  restarted: Upstream[] = [],
): UpstreamTable {
  const lapseEndsAt = performance.now() + lapsesForMs;
  return UpstreamTable.create({
    logger: pino({ level: "silent" }),
    getLapseEndsAt: () => lapseEndsAt,
    leaveWithinMs: 60_000,
    onRestart: (before) => restarted.push(before),
    onAvailability: () => undefined,
    onDrop: () => undefined,
  });
}

test("an upstream gone from the list gets nothing new, and still gives others what it keeps", (t) => {
  const table = createTable(-1);
  table.apply([LISTED]);
  table.apply([GONE]);
  t.is(table.getServing("s").length, 0);
  t.is(table.getPresent("s").length, 1);
});

test("one that may only have lapsed in an outage is used on, and is listed once", (t) => {
  const table = createTable(60_000);
  table.apply([LISTED]);
  table.apply([GONE]);
  t.is(table.getServing("s").length, 1);
  t.is(table.getPresent("s").length, 1);
});

test("one that leaves gets nothing new", (t) => {
  const table = createTable(-1);
  const leaving = buildUpstream({ id: "u", isLeaving: true });
  table.apply([LISTED]);
  table.apply([{ id: "u", revision: 2, upstream: leaving }]);
  t.is(table.getServing("s").length, 0);
});

test("one that is missing when lapsed entries are to be back is taken as gone", async (t) => {
  const table = createTable(40);
  table.apply([LISTED]);
  table.apply([GONE]);
  await waitUntil("the time is over", () => table.getServing("s").length === 0);
  t.is(table.getPresent("s").length, 1);
});

test("a new start under the same id and address is another upstream, of which nothing is known", (t) => {
  const restarted: Upstream[] = [];
  const table = createTable(-1, restarted);
  const list = (revision: number, startedAt?: number) =>
    table.apply([{
      id: "u",
      revision,
      upstream: buildUpstream({ id: "u", startedAt }),
    }]);
  const getOnly = () => {
    const [only, ...others] = table.getServing("s");
    t.deepEqual(others, []);
    return only!;
  };
  list(1, 5);
  const first = getOnly();
  first.health.note("unreachable", performance.now());
  list(2, 5);
  t.is(getOnly(), first);
  list(3, 9);
  const second = getOnly();
  t.not(second, first);
  t.not(second.shortName, first.shortName);
  t.false(second.health.isSuspect);
  t.true(first.isRemoved);
  t.deepEqual(restarted, [first]);
});

test("one that has crashed gets nothing new while its entry is still there", (t) => {
  const table = createTable(-1);
  table.apply([LISTED]);
  const [only] = table.getServing("s");
  t.is(table.findByShortName(only!.shortName), only);
  only!.crashedAt = performance.now();
  t.deepEqual(table.getServing("s"), []);
  only!.crashedAt = performance.now() - 3_001;
  t.deepEqual(table.getServing("s"), [only]);
});

test("an upstream whose entry was missing for a while is held to what it said before, another start of it is not", (t) => {
  const table = createTable(-1);
  const list = (revision: number, startedAt: number) =>
    table.apply([{
      id: "u",
      revision,
      upstream: buildUpstream({ id: "u", startedAt }),
    }]);
  list(1, 5);
  table.getServing("s")[0]!.availability.recordLeaving();
  table.apply([GONE]);
  list(3, 5);
  t.is(table.getServing("s").length, 0);
  table.apply([GONE]);
  list(5, 6);
  t.is(table.getServing("s").length, 1);
});
