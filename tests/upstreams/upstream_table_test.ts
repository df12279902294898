import { pino } from "pino";
import test from "ava";
import { UpstreamTable } from "../../src/upstreams/upstream_table.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { buildUpstream } from "../published/build_published.ts";

const LISTED = { id: "u", revision: 1, upstream: buildUpstream({ id: "u" }) };
const GONE = { id: "u", revision: 2, upstream: undefined };

/** Creates a table.
 * @param lapsesForMs Time left in which missing entries may only have lapsed. */
function createTable(lapsesForMs: number): UpstreamTable {
  const lapseEndsAt = performance.now() + lapsesForMs;
  return UpstreamTable.create({
    logger: pino({ level: "silent" }),
    getLapseEndsAt: () => lapseEndsAt,
    leaveWithinMs: 60_000,
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
