import test from "ava";
import { OutageFleet } from "./outage_fleet.ts";

const HOSTS = 73;
const UPSTREAMS = 63;
/** Upstreams of the hall that goes silent. */
const LOST_UPSTREAMS = 21;
/** Time for which the hall is silent, in milliseconds. */
const OUTAGE_MS = 4_000;
/** Largest part of the failed requests that may remain when hosts share reports. */
const MAX_SHARE_OF_FAILURES = 0.6;

function loseHall(seed: number, shares: boolean): number {
  const fleet = OutageFleet.create({
    seed,
    hosts: HOSTS,
    upstreams: UPSTREAMS,
    shares,
    canReach: (_host, upstream) => upstream >= LOST_UPSTREAMS,
  });
  fleet.runUntil(OUTAGE_MS);
  return fleet.failedRequests;
}

function findMostWrongEjections(fleet: OutageFleet): number {
  let most = 0;
  for (let until = 100; until <= OUTAGE_MS; until += 100) {
    fleet.runUntil(until);
    most = Math.max(most, fleet.countWrongEjections());
  }
  return most;
}

test("when a hall of upstreams goes silent, hosts that share reports send far fewer requests there", (t) => {
  for (const seed of [1, 2, 3]) {
    t.true(
      loseHall(seed, true) < MAX_SHARE_OF_FAILURES * loseHall(seed, false),
    );
  }
});

test("hosts that are cut off from upstreams do not deprive the others of them", (t) => {
  for (const seed of [1, 2, 3]) {
    const cutOffHosts = 12;
    const fleet = OutageFleet.create({
      seed,
      hosts: HOSTS,
      upstreams: UPSTREAMS,
      shares: true,
      canReach: (host, upstream) =>
        host >= cutOffHosts || upstream >= LOST_UPSTREAMS,
      findListener: (upstream) => cutOffHosts + upstream % 20,
    });
    t.is(findMostWrongEjections(fleet), 0);
  }
});

test("hosts that are cut off deprive a single other host of no upstream, though it hears from few of them", (t) => {
  for (const seed of [1, 2, 3]) {
    const fleet = OutageFleet.create({
      seed,
      hosts: HOSTS,
      upstreams: UPSTREAMS,
      shares: true,
      canReach: (host) => host === 0,
    });
    t.is(findMostWrongEjections(fleet), 0);
  }
});
