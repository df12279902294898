import test from "ava";
import { FleetSlots } from "../../src/upstreams/fleet_slots.ts";

function createFleet(size: number, knowsFleet = true): FleetSlots[] {
  const ids = Array.from({ length: size }, (_, index) => `g-${index}`);
  return ids.map((hostId) =>
    FleetSlots.create({
      hostId,
      getOtherHostIds: () => ids.filter((id) => id !== hostId),
      knowsFleet: () => knowsFleet,
    })
  );
}

test("each slot belongs to one host, however many hosts and slots there are", (t) => {
  for (const size of [1, 7, 40]) {
    const fleet = createFleet(size);
    for (const total of [1, 6, 64]) {
      const own = fleet.map((slots) => slots.countOwn("u", total, 0));
      t.is(own.reduce((sum, count) => sum + count), total);
    }
  }
});

test("a host that does not know the fleet owns no slot", (t) => {
  for (const slots of createFleet(3, false)) {
    t.is(slots.countOwn("u", 6, 0), 0);
  }
});

test("slots are distributed anew when the hosts change, and only then", (t) => {
  let others = ["g-1", "g-2"];
  const slots = FleetSlots.create({
    hostId: "g-0",
    getOtherHostIds: () => [...others],
    knowsFleet: () => true,
  });
  const owners = slots.getOtherOwners("u", 6, 0);
  for (let now = 0; now <= 20_000; now += 100) {
    t.is(slots.getOtherOwners("u", 6, now), owners);
  }
  t.is(slots.countOwn("u", 6, 20_000), 2);
  others = ["g-1"];
  t.deepEqual(slots.getOtherOwners("u", 6, 20_500), others);
  t.is(slots.countOwn("u", 6, 20_500), 3);
});

test("all hosts agree on which others own slots", (t) => {
  const fleet = createFleet(40);
  const owners = fleet.flatMap((slots, index) =>
    slots.countOwn("u", 6, 0) > 0 ? [`g-${index}`] : []
  );
  for (const [index, slots] of fleet.entries()) {
    const others = owners.filter((id) => id !== `g-${index}`);
    t.deepEqual([...slots.getOtherOwners("u", 6, 0)].sort(), others.sort());
  }
});
