import test from "ava";
import {
  RetryBudgetFleet,
  type RetryBudgetFleetOptions,
  TRAFFIC_FROM_MS,
} from "./retry_budget_fleet.ts";

/** Retry budgets and traffic of fleets of several sizes. */
const FLEETS = [
  { hosts: 7, requestsPerSecond: 46, extra: 54 },
  { hosts: 7, requestsPerSecond: 150, extra: 54 },
  { hosts: 87, requestsPerSecond: 620, extra: 214 },
  { hosts: 300, requestsPerSecond: 300, extra: 430 },
] as const;
/** Virtual time for which callers send requests, in milliseconds. */
const TRAFFIC_MS = 22_000;
/** Time from the first request until attempts fail, in milliseconds. */
const FAILING_FROM_MS = 3_000;
/** Fraction of the attempts that fail from then on. */
const FAILING_FRACTION = 0.6;
/** Time for which a killed host is down, in milliseconds. */
const DOWN_MS = 600;

type FleetSize = typeof FLEETS[number];

/** Times of a disruption, in seconds of traffic. */
interface Disruption {
  seconds: readonly number[];
  apply: (run: RetryBudgetFleet, hosts: number) => void;
}

const RELOADS: Disruption = {
  seconds: [4, 6, 8, 10],
  apply: (run, hosts) => forEachHost(hosts, (index) => run.reload(index)),
};
const KILLS: Disruption = {
  seconds: [4, 7, 11],
  apply: (run, hosts) =>
    forEachHost(hosts, (index) => run.kill(index, DOWN_MS)),
};
const ISOLATION: Disruption = {
  seconds: [3],
  apply: (run) => run.fleet.setPartitions((index) => index),
};

function forEachHost(hosts: number, action: (index: number) => void): void {
  for (let index = 0; index < hosts; index++) action(index);
}

function runFleet(
  { hosts, requestsPerSecond, extra }: FleetSize,
  disruptions: readonly Disruption[],
  options: Pick<RetryBudgetFleetOptions, "seed">,
): RetryBudgetFleet {
  const run = RetryBudgetFleet.create({
    hosts,
    requestsPerSecond,
    rule: { ratio: 0.2, extra, windowMs: 10_000 },
    getFailingFraction: (now) =>
      now < TRAFFIC_FROM_MS + FAILING_FROM_MS ? 0 : FAILING_FRACTION,
    ...options,
  });
  for (const { seconds, apply } of disruptions) {
    for (const second of seconds) {
      run.at(TRAFFIC_FROM_MS + second * 1_000, () => apply(run, hosts));
    }
  }
  run.runUntil(TRAFFIC_FROM_MS + TRAFFIC_MS);
  return run;
}

for (const fleet of FLEETS) {
  const name = `${fleet.hosts} hosts at ${fleet.requestsPerSecond} requests/s`;

  // Guards against reloads that forget the retries that were already sent.
  test(`retries stay within the budget when settings are reloaded in series: ${name}`, (t) => {
    const run = runFleet(fleet, [RELOADS], { seed: 1 });
    const { retries, allowed } = run.findWorstWindow();
    t.true(retries <= allowed, `${retries} of ${allowed}`);
  });

  // Guards against processes that take a full share although their predecessor has used it.
  test(`retries stay within the budget when all hosts are killed in series: ${name}`, (t) => {
    const run = runFleet(fleet, [KILLS], { seed: 2 });
    const { retries, allowed } = run.findWorstWindow();
    t.true(retries <= allowed, `${retries} of ${allowed}`);
  });

  // Guards against hosts that divide the budget by the few hosts that they have discovered.
  test(`retries stay within the budget when hosts start isolated from each other: ${name}`, (t) => {
    const run = runFleet(fleet, [ISOLATION, KILLS], { seed: 3 });
    const { retries, allowed } = run.findWorstWindow();
    t.true(retries <= allowed, `${retries} of ${allowed}`);
  });

  test(`retries use most of the budget while upstreams fail and no host restarts: ${name}`, (t) => {
    const run = runFleet(fleet, [], { seed: 4 });
    const { retries, allowed } = run.findWorstWindow();
    t.true(retries <= allowed, `${retries} of ${allowed}`);
    t.true(retries >= 0.6 * allowed, `${retries} of ${allowed}`);
  });
}
