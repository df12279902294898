import test from "ava";
import { HostRing, type RingHost } from "../../src/peers/host_ring.ts";
import { Random } from "../../src/random/random.ts";
import { processTimeline } from "../../src/clock/timeline.ts";

const OWN = { address: "own", hall: "h-0" };

function buildHosts(count: number, halls = 3): RingHost[] {
  return Array.from({ length: count }, (_, index) => ({
    address: `10.0.0.${index}:1`,
    hall: `h-${index % halls}`,
  }));
}

function createRing(hosts: readonly RingHost[]): HostRing {
  return HostRing.create({
    own: OWN,
    getHosts: () => hosts,
    timeline: processTimeline,
  });
}

test("spread successors are in all halls", (t) => {
  const random = Random.create(1);
  for (const count of [7, 87, 300]) {
    const hosts = buildHosts(count);
    const ring = createRing(hosts);
    const hallOf = new Map(
      [...hosts, OWN].map((host) => [host.address, host.hall]),
    );
    for (let round = 0; round < 200; round++) {
      const position = random.integer(0, 2 ** 31);
      const chosen = ring.getSpreadSuccessors(position, 5);
      const halls = new Set(chosen.map((address) => hallOf.get(address)));
      if (chosen.length === 5) t.is(halls.size, 3);
      t.true(chosen.length >= 4);
      t.false(chosen.includes(OWN.address));
    }
  }
});

test("the loss of hosts displaces none of the remaining spread successors", (t) => {
  const random = Random.create(2);
  for (let round = 0; round < 300; round++) {
    const hosts = buildHosts(random.pick([7, 20, 87]), random.integer(1, 5));
    const left = hosts.filter(() => random.fraction() < 0.5);
    const position = random.integer(0, 2 ** 31);
    const before = createRing(hosts).getSpreadSuccessors(position, 5);
    const after = createRing(left).getSpreadSuccessors(position, 6);
    const survivors = left.map(({ address }) => address);
    for (const address of before) {
      if (survivors.includes(address)) t.true(after.includes(address));
    }
  }
});
