import { readClock } from "../../src/clock/clock.ts";
import { pino } from "pino";
import test from "ava";
import type { Upstream } from "../../src/upstreams/upstream.ts";
import { UpstreamTable } from "../../src/upstreams/upstream_table.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { buildUpstream } from "../published/build_published.ts";

const LISTED = { id: "u", revision: 1, upstream: buildUpstream({ id: "u" }) };
const UNLISTED = { id: "u", revision: 2, upstream: undefined };

/** Creates a table.
 * @param lapsesForMs Remaining time in which missing entries may only have lapsed, in milliseconds.
 * @param restarted Receives the earlier instances of restarted upstreams. */
function createTable(
  lapsesForMs: number,
  restarted: Upstream[] = [],
): UpstreamTable {
  const lapseEndsAt = performance.now() + lapsesForMs;
  return UpstreamTable.create({
    logger: pino({ level: "silent" }),
    getLapseEndsAt: () => lapseEndsAt,
    getCompleteUntil: () => performance.now(),
    leaveTimeoutMs: 60_000,
    onRestart: (before) => restarted.push(before),
    onAvailabilityChange: () => undefined,
    onRemove: () => undefined,
  });
}

test("an unlisted upstream gets no new requests, but is still present for fetches by others", (t) => {
  const table = createTable(-1);
  table.apply([LISTED]);
  table.apply([UNLISTED]);
  t.is(table.getServing("s").length, 0);
  t.is(table.getPresent("s").length, 1);
});

test("an upstream is warming up for the time that its entry names", (t) => {
  const table = createTable(-1);
  const publish = (revision: number, warmUpMs: number) => {
    const upstream = buildUpstream({ id: "u", warmUpMs });
    table.apply([{ id: "u", revision, upstream }]);
    return table.getServing("s")[0]!;
  };
  const upstream = publish(1, 60_000);
  t.true(upstream.isWarmingUp(performance.now()));
  t.false(upstream.isWarmingUp(performance.now() + 60_001));
  t.false(publish(2, 0).isWarmingUp(performance.now()));
});

test("upstreams of an evacuated hall get no requests until it is withdrawn, also those that are listed later", (t) => {
  const table = createTable(-1);
  const list = (id: string, revision: number, hall: string) => {
    const upstream = buildUpstream({ id, hall });
    table.apply([{ id, revision, upstream }]);
  };
  const getServingIds = () => table.getServing("s").map(({ id }) => id);
  list("a", 1, "h-1");
  table.setEvacuatedHalls(["h-1", "unknown"]);
  list("b", 2, "h-1");
  list("c", 3, "h-2");
  t.deepEqual(getServingIds(), ["c"]);
  table.setEvacuatedHalls([]);
  t.deepEqual(getServingIds(), ["a", "b", "c"]);
});

test("an upstream whose entry may only have lapsed in an outage remains in use, and is present once", (t) => {
  const table = createTable(60_000);
  table.apply([LISTED]);
  table.apply([UNLISTED]);
  t.is(table.getServing("s").length, 1);
  t.is(table.getPresent("s").length, 1);
});

test("a leaving upstream gets no new requests", (t) => {
  const table = createTable(-1);
  const leaving = buildUpstream({ id: "u", isLeaving: true });
  table.apply([LISTED]);
  table.apply([{ id: "u", revision: 2, upstream: leaving }]);
  t.is(table.getServing("s").length, 0);
});

test("an entry that is still missing when lapsed entries must be back is removed", async (t) => {
  const table = createTable(40);
  table.apply([LISTED]);
  table.apply([UNLISTED]);
  await waitUntil(
    "the time for lapsed entries is over",
    () => table.getServing("s").length === 0,
  );
  t.is(table.getPresent("s").length, 1);
});

test("a new instance under the same id and address starts without the state of the earlier one", (t) => {
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
  first.health.recordSignal("unreachable", performance.now());
  list(2, 5);
  t.is(getOnly(), first);
  list(3, 9);
  const second = getOnly();
  t.not(second, first);
  t.not(second.instanceHash, first.instanceHash);
  t.false(second.health.isSuspect(readClock()));
  t.true(first.isRemoved);
  t.deepEqual(restarted, [first]);
});

test("a crashed upstream gets no new requests while its entry is still listed", (t) => {
  const table = createTable(-1);
  table.apply([LISTED]);
  const [only] = table.getServing("s");
  t.is(table.findByInstanceHash(only!.instanceHash), only);
  only!.crashedAt = performance.now();
  t.deepEqual(table.getServing("s"), []);
  only!.crashedAt = performance.now() - 3_001;
  t.deepEqual(table.getServing("s"), [only]);
});

test("an instance that is listed again keeps its availability, another instance starts afresh", (t) => {
  const table = createTable(-1);
  const list = (revision: number, startedAt: number) =>
    table.apply([{
      id: "u",
      revision,
      upstream: buildUpstream({ id: "u", startedAt }),
    }]);
  list(1, 5);
  table.getServing("s")[0]!.availability.recordLeaving();
  table.apply([UNLISTED]);
  list(3, 5);
  t.is(table.getServing("s").length, 0);
  table.apply([UNLISTED]);
  list(5, 6);
  t.is(table.getServing("s").length, 1);
});

/** Lists upstreams in a table, with or without a start time by their ids. */
function listStarts(
  table: UpstreamTable,
  starts: Readonly<Record<string, number | undefined>>,
): string[] {
  table.apply(
    Object.entries(starts).map(([id, startedAt], index) => ({
      id,
      revision: index,
      upstream: buildUpstream({ id, startedAt }),
    })),
  );
  return table.getServing("s").map(({ id }) => id);
}

// Guards against the loss of all upstreams by one entry of another writer.
test("one entry with a start time does not exclude upstreams that publish none", (t) => {
  const table = createTable(-1);
  const starts = { a: undefined, b: undefined, odd: 1, c: undefined };
  t.deepEqual(listStarts(table, starts), ["a", "b", "odd", "c"]);
  t.is([...table.getAll()].length, 4);
});

test("an entry without a start time is not used where others have one, and is used once most have none", (t) => {
  const table = createTable(-1);
  t.deepEqual(listStarts(table, { odd: undefined, a: 1 }), ["a"]);
  t.is([...table.getAll()].length, 1);
  const more = { b: undefined, c: undefined };
  t.deepEqual(listStarts(table, more).sort(), ["a", "b", "c", "odd"]);
});

// Guards against requests that were chosen for an upstream before it left and wait for their connection.
test("a request may be sent to a chosen upstream until that leaves or is removed", (t) => {
  const table = createTable(-1);
  table.apply([LISTED]);
  const upstream = table.getServing("s")[0]!;
  t.true(table.maySendTo(upstream, false));
  const leaving = buildUpstream({ id: "u", isLeaving: true });
  table.apply([{ id: "u", revision: 2, upstream: leaving }]);
  t.false(table.maySendTo(upstream, false));
  t.true(table.maySendTo(upstream, true));
  table.apply([{ id: "u", revision: 3, upstream: undefined }]);
  t.false(table.maySendTo(upstream, true));
});
