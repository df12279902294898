import test from "ava";
import { PathFleet, type PathFleetOptions } from "./path_fleet.ts";

const UPSTREAMS = 9;
const CUT_AT_MS = 1_000;
/** Time from the cut until its effect is measured, in milliseconds. */
const SETTLING_MS = 1_000;
const CUT_ENDS_AT_MS = 5_000;
const END_MS = 7_000;
/** Time limit of the shortest requests, in milliseconds. */
const TIME_LIMIT_MS = 600;
/** Largest difference of the served fractions of requests at partitioned and at other hosts. */
const MAX_DIFFERENCE = 0.02;

/** Fleets: numbers of hosts and of those that are cut off from all upstreams, and milliseconds between two requests of a
 * host. */
const FLEETS = [
  { hosts: 7, partitioned: 1, requestIntervalMs: 150 },
  { hosts: 7, partitioned: 6, requestIntervalMs: 150 },
  { hosts: 24, partitioned: 12, requestIntervalMs: 300 },
  { hosts: 24, partitioned: 23, requestIntervalMs: 300 },
  { hosts: 87, partitioned: 43, requestIntervalMs: 900 },
  { hosts: 87, partitioned: 86, requestIntervalMs: 900 },
  { hosts: 300, partitioned: 299, requestIntervalMs: 1_800 },
];

/** Largest fleet that is run with two seeds. */
const MAX_HOSTS_FOR_TWO_SEEDS = 24;

async function runFleet(options: PathFleetOptions, partitioned: number) {
  const fleet = PathFleet.create(options);
  await fleet.runUntil(CUT_ENDS_AT_MS);
  const lost = fleet.countPaths("direct");
  await fleet.runUntil(END_MS);
  const isMeasured = ({ sentAt }: { sentAt: number }) =>
    sentAt >= CUT_AT_MS + SETTLING_MS && sentAt < CUT_ENDS_AT_MS;
  const measured = fleet.requests.filter(isMeasured);
  const getServedFraction = (isPartitioned: boolean) => {
    const sent = measured.filter(({ host }) =>
      (host < partitioned) === isPartitioned
    );
    const served = sent.filter(({ connectMs }) =>
      connectMs !== undefined && connectMs < TIME_LIMIT_MS
    );
    return served.length / sent.length;
  };
  fleet.close();
  return {
    partitioned: getServedFraction(true),
    others: getServedFraction(false),
    directInCut: lost,
    directAfter: fleet.countPaths("direct"),
  };
}

for (const failure of ["refused", "timed_out"] as const) {
  for (const { hosts, partitioned, requestIntervalMs } of FLEETS) {
    test(`${partitioned} of ${hosts} hosts that are cut off from all upstreams serve as the others do (${failure})`, async (t) => {
      for (const seed of hosts > MAX_HOSTS_FOR_TWO_SEEDS ? [1] : [1, 2]) {
        const result = await runFleet({
          seed,
          hosts,
          upstreams: UPSTREAMS,
          requestIntervalMs,
          failure,
          canReach: (host, _upstream, now) =>
            host >= partitioned || now < CUT_AT_MS || now >= CUT_ENDS_AT_MS,
        }, partitioned);
        t.is(result.others, 1);
        t.true(
          result.partitioned >= 1 - MAX_DIFFERENCE,
          `served ${result.partitioned} at partitioned hosts`,
        );
        t.is(result.directAfter, hosts * UPSTREAMS);
      }
    });
  }
}

/** Number of upstreams that stop responding, of twice as many. */
const LOST_UPSTREAMS = 20;
/** Maximum number of hosts that a host asks on average about an upstream that no host reaches, in two seconds. */
const MAX_RELAY_REQUESTS = 2;

// Guards against hosts that spend their time on each other's requests when many upstreams stop responding at once.
for (const hosts of [24, 87]) {
  test(`${hosts} hosts seldom ask each other to relay connections to upstreams that no host reaches`, async (t) => {
    const fleet = PathFleet.create({
      seed: 3,
      hosts,
      upstreams: 2 * LOST_UPSTREAMS,
      requestIntervalMs: 60,
      failure: "timed_out",
      canReach: (_host, upstream, now) =>
        upstream >= LOST_UPSTREAMS || now < CUT_AT_MS,
    });
    await fleet.runUntil(CUT_AT_MS + 2_000);
    fleet.close();
    const perPath = fleet.relayRequests / (hosts * LOST_UPSTREAMS);
    t.true(perPath <= MAX_RELAY_REQUESTS, `${perPath} a path`);
  });
}
