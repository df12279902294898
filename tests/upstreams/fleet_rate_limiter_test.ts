import test from "ava";
import { FleetSlots } from "../../src/upstreams/fleet_slots.ts";
import { FleetRateLimiter } from "../../src/upstreams/fleet_rate_limiter.ts";

/** Creates the limiters of a fleet whose hosts all know each other. */
function createFleet(
  size: number,
  knowsFleet = () => true,
): FleetRateLimiter[] {
  const ids = Array.from({ length: size }, (_, index) => `g-${index}`);
  return ids.map((hostId) =>
    FleetRateLimiter.create(
      FleetSlots.create({
        hostId,
        getOtherHostIds: () => ids.filter((id) => id !== hostId),
        knowsFleet,
      }),
    )
  );
}

/** Sends as many requests as are admitted at one moment; returns their number. */
function sendAll(limiter: FleetRateLimiter, rate: number, now: number): number {
  let sent = 0;
  while (limiter.admits("u", rate, now)) {
    limiter.recordSend("u", now);
    sent += 1;
  }
  return sent;
}

function sendFromAll(fleet: FleetRateLimiter[], rate: number, now: number) {
  return fleet.reduce((sum, limiter) => sum + sendAll(limiter, rate, now), 0);
}

test("hosts that know each other send the permitted rate in total, however many they are", (t) => {
  for (const size of [1, 3, 8, 40]) {
    const fleet = createFleet(size);
    t.is(sendFromAll(fleet, 8.9, 0), 8);
    t.is(sendFromAll(fleet, 8.9, 999), 0);
    t.is(sendFromAll(fleet, 8.9, 1_000), 8);
  }
});

test("a rate below one per second is kept as well", (t) => {
  const fleet = createFleet(3);
  t.is(sendFromAll(fleet, 0.25, 0), 1);
  t.is(sendFromAll(fleet, 0.25, 3_999), 0);
  t.is(sendFromAll(fleet, 0.25, 4_000), 1);
});

test("a host that has not discovered the fleet sends nothing", (t) => {
  let isKnown = false;
  const fleet = createFleet(2, () => isKnown);
  t.is(sendFromAll(fleet, 8.9, 0), 0);
  isKnown = true;
  t.is(sendFromAll(fleet, 8.9, 1_000), 8);
});
