import test from "ava";
import { chooseAddresses } from "../../src/gateway/choose_addresses.ts";
import type { PeerEntry } from "../../src/peers/gossip_schema.ts";
import { HostTable } from "../../src/peers/host_table.ts";
import { buildEntry } from "../peers/build_entry.ts";

/** Minimum and maximum number of address lists of a large fleet that contain one host, as multiples of the mean. */
const FREQUENCY_RANGE = [0.6, 1.5] as const;

function buildEntries(count: number): PeerEntry[] {
  return Array.from({ length: count }, (_, index) =>
    buildEntry({
      id: `g-${index}`,
      gossipAddress: `10.0.${index >> 8}.${index & 255}:1`,
      callerAddress: `10.0.${index >> 8}.${index & 255}:2`,
    }));
}

/** Returns the addresses that a host chooses if it knows all others. */
function chooseFrom(own: PeerEntry, all: readonly PeerEntry[]): string[] {
  const table = HostTable.create(own.gossipAddress);
  for (const entry of all) table.applyDirectEntry(entry, 1, 0);
  const { callerAddress } = own;
  return chooseAddresses({
    own: { callerAddress, isReady: own.phase === "ready" },
    live: table.getLive(0),
  });
}

test("all hosts of a small fleet are chosen", (t) => {
  const all = buildEntries(9);
  t.deepEqual(
    chooseFrom(all[4]!, all).sort(),
    all.map(({ callerAddress }) => callerAddress).sort(),
  );
});

// Guards against all hosts choosing the same 64, those that the first seed discovered first.
test("each of 195 hosts is chosen about as often as the others", (t) => {
  const all = buildEntries(195);
  const counts = new Map<string, number>();
  for (const own of all) {
    for (const address of chooseFrom(own, all)) {
      counts.set(address, (counts.get(address) ?? 0) + 1);
    }
  }
  const mean = [...counts.values()].reduce((sum, count) => sum + count, 0) /
    195;
  t.is(counts.size, 195);
  t.true(Math.min(...counts.values()) >= FREQUENCY_RANGE[0] * mean);
  t.true(Math.max(...counts.values()) <= FREQUENCY_RANGE[1] * mean);
});

test("a host lists itself first while it accepts requests, and lists only hosts that do", (t) => {
  const all = buildEntries(100).map((entry, index) => ({
    ...entry,
    phase: index % 2 === 0 ? "ready" as const : "draining" as const,
  }));
  const ready = new Set(
    all.filter(({ phase }) => phase === "ready").map((entry) =>
      entry.callerAddress
    ),
  );
  t.is(chooseFrom(all[2]!, all)[0], all[2]!.callerAddress);
  t.true(chooseFrom(all[3]!, all).every((address) => ready.has(address)));
});
