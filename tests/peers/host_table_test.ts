import test from "ava";
import type { HostRumour, HostStatus } from "../../src/peers/host_rumour.ts";
import {
  HostTable,
  SMALL_FLEET_MAX_HOSTS,
} from "../../src/peers/host_table.ts";
import { buildEntry } from "./build_entry.ts";

const OWN = "127.0.0.1:1";
const OTHER = "127.0.0.1:2";
/** Longer than any host of a small fleet stays live without contact, in milliseconds. */
const BEYOND_TIMEOUTS_MS = 20_000;

function createTable(now: number): HostTable {
  const table = HostTable.create(OWN);
  table.applyDirectEntry(
    buildEntry({ id: "g-2", gossipAddress: OTHER }),
    1,
    now,
  );
  return table;
}

/** Creates a table of a large fleet in which all hosts were just seen. */
function createLargeTable(now: number): HostTable {
  const table = createTable(now);
  for (let index = 0; index < SMALL_FLEET_MAX_HOSTS; index++) {
    const gossipAddress = `127.0.1.${index}:1`;
    table.applyDirectEntry(
      buildEntry({ id: `h-${index}`, gossipAddress }),
      1,
      now,
    );
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

test("a host of a small fleet is live while its last contact is recent", (t) => {
  const table = createTable(0);
  t.is(table.getLive(0).length, 1);
  t.is(table.getLive(BEYOND_TIMEOUTS_MS).length, 0);
});

test("a host of a large fleet without contact stays live until its suspicion expires", (t) => {
  const table = createLargeTable(0);
  table.recordContact("127.0.1.1:1", BEYOND_TIMEOUTS_MS);
  t.true(isLive(table, BEYOND_TIMEOUTS_MS));
  const host = table.getHost(OTHER)!;
  table.suspect(host, BEYOND_TIMEOUTS_MS);
  t.true(isLive(table, BEYOND_TIMEOUTS_MS));
  table.expireSuspicion(host, BEYOND_TIMEOUTS_MS);
  t.false(isLive(table, BEYOND_TIMEOUTS_MS));
  t.is(table.getLive(BEYOND_TIMEOUTS_MS).length, SMALL_FLEET_MAX_HOSTS);
});

test("an isolated host of a large fleet considers no host live", (t) => {
  const table = createLargeTable(0);
  t.is(table.getLive(BEYOND_TIMEOUTS_MS).length, 0);
  table.recordContact("127.0.1.1:1", BEYOND_TIMEOUTS_MS);
  t.is(table.getLive(BEYOND_TIMEOUTS_MS).length, SMALL_FLEET_MAX_HOSTS + 1);
});

test("a suspicion is refuted by a higher incarnation, not by a message with the suspected one", (t) => {
  const table = createLargeTable(0);
  table.applyRumour(buildRumour(table, "suspect"), 0);
  const entry = buildEntry({ id: "g-2", gossipAddress: OTHER, sequence: 2 });
  t.true(table.applyDirectEntry(entry, 2, 1));
  t.is(table.getHost(OTHER)?.status, "suspect");
  table.applyRumour(buildRumour(table, "alive", 2), 2);
  t.is(table.getHost(OTHER)?.status, "alive");
  table.applyRumour(buildRumour(table, "failed", 1), 3);
  t.is(table.getHost(OTHER)?.status, "alive");
});

test("a rumour carries the age of its status, so that a suspicion expires on all hosts at once", (t) => {
  const table = createLargeTable(0);
  const rumour = buildRumour(table, "suspect");
  table.applyRumour({ ...rumour, agoMs: 300 }, 500);
  t.is(table.getHost(OTHER)?.statusSince, 200);
});

test("the expiry of a refuted suspicion has no effect", (t) => {
  const table = createLargeTable(0);
  const host = table.getHost(OTHER)!;
  table.suspect(host, 100);
  table.applyRumour(buildRumour(table, "alive", 2), 200);
  table.expireSuspicion(host, 100);
  t.is(host.status, "alive");
});

test("a rumour about an unknown host is reported to the caller and not applied", (t) => {
  const table = createTable(0);
  const rumour = { ...buildRumour(table, "alive"), name: 1234 };
  t.false(table.applyRumour(rumour, 0));
  t.is(table.getAll().length, 1);
});

test("a rumour updates the phase with the incarnation", (t) => {
  const table = createTable(0);
  const rumour = buildRumour(table, "alive", 2);
  table.applyRumour({ ...rumour, phase: "draining" }, 0);
  t.is(table.getHost(OTHER)?.entry.phase, "draining");
});

test("a host that has failed in a pulled host table is only suspected", (t) => {
  const table = createLargeTable(0);
  const { entry } = table.getHost(OTHER)!;
  table.mergeStates([{ entry, status: "failed", agoMs: 0 }], 1);
  t.is(table.getHost(OTHER)?.status, "suspect");
});

test("digests are equal on hosts that consider the same incarnations live", (t) => {
  const table = createTable(0);
  const other = HostTable.create(OTHER);
  other.applyDirectEntry(
    buildEntry({ gossipAddress: OWN, incarnation: 7 }),
    1,
    0,
  );
  t.is(table.computeDigest(7), other.computeDigest(1));
  t.not(table.computeDigest(8), other.computeDigest(1));
});

test("a relayed entry lowers neither the last contact nor the sequence number of a host", (t) => {
  const table = createTable(0);
  table.recordContact(OTHER, 900);
  const entry = buildEntry({ id: "g-2", gossipAddress: OTHER, sequence: 5 });
  t.true(table.applyRelayedEntry({ ...entry, revision: 77 }, 400));
  const host = table.getHost(OTHER);
  t.is(host?.lastSeenAt, 900);
  t.is(host?.entry.revision, 77);
  t.false(table.applyRelayedEntry({ ...entry, sequence: 4 }, 1_000));
});

test("a load report updates the loads of its incarnation only", (t) => {
  const table = createTable(0);
  const { name } = table.getHost(OTHER)!;
  const report = { name, incarnation: 1, sequence: 9, agoMs: 5 };
  t.truthy(table.applyLoadReport({ ...report, loads: [[7, 3]] }, 100));
  t.deepEqual(table.getHost(OTHER)?.entry.loads, [[7, 3]]);
  t.is(table.getHost(OTHER)?.lastSeenAt, 95);
  t.is(table.applyLoadReport({ ...report, loads: [] }, 200), undefined);
  const later = { ...report, sequence: 10, loads: [] };
  t.is(table.applyLoadReport({ ...later, incarnation: 2 }, 200), undefined);
});

test("hosts that were lost since a time are counted, and those that were lost before are not", (t) => {
  const table = HostTable.create("127.0.0.1:1");
  for (const [port, seenAt] of [[2, 0], [3, 5_000], [4, 9_900]] as const) {
    const entry = buildEntry({
      id: `g-${port}`,
      gossipAddress: `127.0.0.1:${port}`,
    });
    table.applyDirectEntry(entry, seenAt, seenAt);
  }
  t.is(table.countLostSince(2_000, 10_000), 1);
  t.is(table.countLostSince(-1, 10_000), 2);
});
