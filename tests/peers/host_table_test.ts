import test from "ava";
import { HostTable } from "../../src/peers/host_table.ts";
import { buildEntry } from "./build_entry.ts";

const OWN = "127.0.0.1:1";
const OTHER = "127.0.0.1:2";
/** Longer than any host is taken for live without word of it, in milliseconds. */
const LONG_MS = 20_000;

function createTable(now: number): HostTable {
  const table = HostTable.create(OWN);
  table.hear(buildEntry({ id: "g-2", gossipAddress: OTHER }), 1, now);
  return table;
}

test("another host's sighting keeps a host live, with the phase it was seen in", (t) => {
  const table = createTable(0);
  t.is(table.getLive(LONG_MS).length, 0);
  const teller = createTable(0);
  teller.noteHeard(OTHER, 2, LONG_MS - 100);
  table.takeSightings(teller.getSightings(10, LONG_MS), LONG_MS);
  const [live] = table.getLive(LONG_MS);
  t.is(live?.entry.phase, "draining");
  t.is(live?.heardAt, LONG_MS - 100);
});

test("a sighting that is older than what is known changes nothing, and one of an unknown host is left out", (t) => {
  const table = createTable(500);
  const teller = createTable(400);
  table.takeSightings(teller.getSightings(10, 500), 500);
  t.deepEqual(table.takeSightings([[1234, 0, 1]], 500), [1234]);
  t.is(table.getAll().length, 1);
  t.is(table.getHost(OTHER)?.heardAt, 500);
  t.is(table.getHost(OTHER)?.entry.phase, "ready");
});

test("an older word that tells more neither makes a host look silent nor brings its phase back", (t) => {
  const table = createTable(0);
  table.noteHeard(OTHER, 2, 900);
  const entry = buildEntry({ id: "g-2", gossipAddress: OTHER, sequence: 5 });
  t.true(table.hearOf({ ...entry, revision: 77 }, 400));
  const host = table.getHost(OTHER);
  t.is(host?.heardAt, 900);
  t.is(host?.entry.phase, "draining");
  t.is(host?.entry.revision, 77);
});
