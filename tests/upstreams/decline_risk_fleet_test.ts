import test from "ava";
import { DeclineRiskFleet } from "./decline_risk_fleet.ts";

/** Time from the first response until the limit must be kept, in milliseconds. */
const CONTACT_MS = 3_000;
const BURST_FROM_MS = 4_000;
const BURST_TO_MS = 6_000;
const RESTART_AT_MS = 7_000;
const SECOND_BURST_MS = 7_100;
const END_MS = 9_000;
const UPSTREAMS = 3;
const SLOTS = 6;
const MAX_DECLINES = 4;
/** Requests per second that all upstreams run at most. */
const CAPACITY = UPSTREAMS * SLOTS * 1_000 / 35;
/** Smallest fraction of the requests that is served outside the bursts. */
const MIN_SERVED = 0.97;

function getRate(now: number): number {
  const isBurst = (now >= BURST_FROM_MS && now < BURST_TO_MS) ||
    now >= SECOND_BURST_MS;
  return CAPACITY * (isBurst ? 3 : 0.1);
}

async function runFleet(hosts: number, seed: number, isLimited: boolean) {
  const fleet = DeclineRiskFleet.create({
    seed,
    hosts,
    upstreams: UPSTREAMS,
    slots: SLOTS,
    maxDeclines: MAX_DECLINES,
    isLimited,
    getRate,
    restartAt: RESTART_AT_MS,
  });
  await fleet.runUntil(BURST_FROM_MS);
  const { served, refused } = fleet;
  await fleet.runUntil(END_MS);
  return { fleet, servedBefore: served / (served + refused) };
}

/** Returns the largest number of requests that an upstream declined within a second, from the contact time on. */
function findMostDeclines({ declinedAt }: DeclineRiskFleet): number {
  return Math.max(...declinedAt.map((times) => {
    const counted = times.filter((at) => at >= CONTACT_MS);
    return Math.max(
      0,
      ...counted.map((at, index) =>
        counted.slice(index).filter((other) => other < at + 1_000).length
      ),
    );
  }));
}

for (const hosts of [7, 24, 87, 300]) {
  test(`${hosts} hosts in a burst, a tenth of which has just started, do not make upstreams decline more than they bear`, async (t) => {
    const unlimited = await runFleet(hosts, 1, false);
    t.true(findMostDeclines(unlimited.fleet) > MAX_DECLINES);
    for (const seed of [1, 2, 3]) {
      const { fleet, servedBefore } = await runFleet(hosts, seed, true);
      t.true(
        findMostDeclines(fleet) <= MAX_DECLINES,
        `${findMostDeclines(fleet)} declined within a second`,
      );
      t.true(servedBefore >= MIN_SERVED, `${servedBefore} served before`);
    }
  });
}
