import test from "ava";
import { chooseAddresses } from "../../src/gateway/choose_addresses.ts";
import type { PeerEntry } from "../../src/peers/gossip_schema.ts";
import { HostTable } from "../../src/peers/host_table.ts";
import { buildEntry } from "../peers/build_entry.ts";

/** Least and most answers of a large fleet that name one host, as multiples of the mean. */
const EVEN = [0.6, 1.5] as const;

function buildHosts(count: number): PeerEntry[] {
  return Array.from({ length: count }, (_, index) =>
    buildEntry({
      id: `g-${index}`,
      gossipAddress: `10.0.${index >> 8}.${index & 255}:1`,
      callerAddress: `10.0.${index >> 8}.${index & 255}:2`,
    }));
}

/** What a host names that knows all others. */
function nameFrom(own: PeerEntry, all: readonly PeerEntry[]): string[] {
  const table = HostTable.create(own.gossipAddress);
  for (const entry of all) table.hear(entry, 1, 0);
  const { callerAddress } = own;
  return chooseAddresses({
    own: { callerAddress, isReady: own.phase === "ready" },
    live: table.getLive(0),
  });
}

test("all hosts of a small fleet are named", (t) => {
  const all = buildHosts(9);
  t.deepEqual(
    nameFrom(all[4]!, all).sort(),
    all.map(({ callerAddress }) => callerAddress).sort(),
  );
});

// All hosts named the same 64, those that the first seed had come to know first.
test("each of 195 hosts is named about as often as the others", (t) => {
  const all = buildHosts(195);
  const counts = new Map<string, number>();
  for (const own of all) {
    for (const address of nameFrom(own, all)) {
      counts.set(address, (counts.get(address) ?? 0) + 1);
    }
  }
  const mean = [...counts.values()].reduce((sum, one) => sum + one, 0) / 195;
  t.is(counts.size, 195);
  t.true(Math.min(...counts.values()) >= EVEN[0] * mean);
  t.true(Math.max(...counts.values()) <= EVEN[1] * mean);
});

test("a host names itself first while it takes requests, and only hosts that do", (t) => {
  const all = buildHosts(100).map((entry, index) => ({
    ...entry,
    phase: index % 2 === 0 ? "ready" as const : "draining" as const,
  }));
  const ready = new Set(
    all.filter(({ phase }) => phase === "ready").map((one) =>
      one.callerAddress
    ),
  );
  t.is(nameFrom(all[2]!, all)[0], all[2]!.callerAddress);
  t.true(nameFrom(all[3]!, all).every((address) => ready.has(address)));
});
