import test from "ava";
import type { HostRumour, HostStatus } from "../../src/peers/host_rumour.ts";
import { HostTable, SMALL_FLEET } from "../../src/peers/host_table.ts";
import { buildEntry } from "./build_entry.ts";

const OWN = "127.0.0.1:1";
const OTHER = "127.0.0.1:2";
/** Longer than any host of a small fleet is taken for live without word of it, in milliseconds. */
const LONG_MS = 20_000;
function createTable(now: number): HostTable {
  const table = HostTable.create(OWN);
  table.hear(buildEntry({ id: "g-2", gossipAddress: OTHER }), 1, now);
  return table;
}

/** A table of a large fleet in which all were just heard. */
function createLargeTable(now: number): HostTable {
  const table = createTable(now);
  for (let index = 0; index < SMALL_FLEET; index++) {
    const gossipAddress = `127.0.1.${index}:1`;
    table.hear(buildEntry({ id: `h-${index}`, gossipAddress }), 1, now);
  }
  return table;
}

function buildRumour(
  table: HostTable,
  status: HostStatus,
  incarnation = 1,
): HostRumour {
  const { name } = table.getHost(OTHER)!;
  return { name, incarnation, status, phase: "ready", agoMs: 0 };
}

function isLive(table: HostTable, now: number): boolean {
  return table.isLive(table.getHost(OTHER)!, now);
}

test("a host of a small fleet is live while it was heard lately", (t) => {
  const table = createTable(0);
  t.is(table.getLive(0).length, 1);
  t.is(table.getLive(LONG_MS).length, 0);
});

test("a silent host of a large fleet stays live until its suspicion ends", (t) => {
  const table = createLargeTable(0);
  table.noteHeard("127.0.1.1:1", LONG_MS);
  t.true(isLive(table, LONG_MS));
  const host = table.getHost(OTHER)!;
  table.suspect(host, LONG_MS);
  t.true(isLive(table, LONG_MS));
  table.expireSuspicion(host, LONG_MS);
  t.false(isLive(table, LONG_MS));
  t.is(table.getLive(LONG_MS).length, SMALL_FLEET);
});

test("a host that hears nobody takes no host of a large fleet for live", (t) => {
  const table = createLargeTable(0);
  t.is(table.getLive(LONG_MS).length, 0);
  table.noteHeard("127.0.1.1:1", LONG_MS);
  t.is(table.getLive(LONG_MS).length, SMALL_FLEET + 1);
});

test("a suspicion is refuted by a greater incarnation, not by word of the suspected one", (t) => {
  const table = createLargeTable(0);
  table.applyRumour(buildRumour(table, "suspect"), 0);
  const entry = buildEntry({ id: "g-2", gossipAddress: OTHER, sequence: 2 });
  t.true(table.hear(entry, 2, 1));
  t.is(table.getHost(OTHER)?.status, "suspect");
  table.applyRumour(buildRumour(table, "alive", 2), 2);
  t.is(table.getHost(OTHER)?.status, "alive");
  table.applyRumour(buildRumour(table, "failed", 1), 3);
  t.is(table.getHost(OTHER)?.status, "alive");
});

test("a rumour carries when its status began, so that all hosts end a suspicion together", (t) => {
  const table = createLargeTable(0);
  const rumour = buildRumour(table, "suspect");
  table.applyRumour({ ...rumour, agoMs: 300 }, 500);
  t.is(table.getHost(OTHER)?.statusSince, 200);
});

test("the end of a suspicion that was refuted changes nothing", (t) => {
  const table = createLargeTable(0);
  const host = table.getHost(OTHER)!;
  table.suspect(host, 100);
  table.applyRumour(buildRumour(table, "alive", 2), 200);
  table.expireSuspicion(host, 100);
  t.is(host.status, "alive");
});

test("a rumour of an unknown host is left to the caller", (t) => {
  const table = createTable(0);
  const rumour = { ...buildRumour(table, "alive"), name: 1234 };
  t.false(table.applyRumour(rumour, 0));
  t.is(table.getAll().length, 1);
});

test("a rumour brings the phase of its incarnation", (t) => {
  const table = createTable(0);
  const rumour = buildRumour(table, "alive", 2);
  table.applyRumour({ ...rumour, phase: "draining" }, 0);
  t.is(table.getHost(OTHER)?.entry.phase, "draining");
});

test("a host that has failed for another is suspected first", (t) => {
  const table = createLargeTable(0);
  const { entry } = table.getHost(OTHER)!;
  table.mergeStates([{ entry, status: "failed", agoMs: 0 }], 1);
  t.is(table.getHost(OTHER)?.status, "suspect");
});

test("digests are equal where the same starts of hosts are taken for live, seen from any of them", (t) => {
  const table = createTable(0);
  const other = HostTable.create(OTHER);
  other.hear(buildEntry({ gossipAddress: OWN, incarnation: 7 }), 1, 0);
  t.is(table.computeDigest(7), other.computeDigest(1));
  t.not(table.computeDigest(8), other.computeDigest(1));
});

test("another's older word neither makes a host look silent nor outdates its entry", (t) => {
  const table = createTable(0);
  table.noteHeard(OTHER, 900);
  const entry = buildEntry({ id: "g-2", gossipAddress: OTHER, sequence: 5 });
  t.true(table.hearOf({ ...entry, revision: 77 }, 400));
  const host = table.getHost(OTHER);
  t.is(host?.heardAt, 900);
  t.is(host?.entry.revision, 77);
  t.false(table.hearOf({ ...entry, sequence: 4 }, 1_000));
});

test("a report updates the requests of the start that it names", (t) => {
  const table = createTable(0);
  const { name } = table.getHost(OTHER)!;
  const report = { name, incarnation: 1, sequence: 9, agoMs: 5 };
  t.truthy(table.hearReport({ ...report, loads: [[7, 3]] }, 100));
  t.deepEqual(table.getHost(OTHER)?.entry.loads, [[7, 3]]);
  t.is(table.getHost(OTHER)?.heardAt, 95);
  t.is(table.hearReport({ ...report, loads: [] }, 200), undefined);
  const later = { ...report, sequence: 10, loads: [] };
  t.is(table.hearReport({ ...later, incarnation: 2 }, 200), undefined);
});
