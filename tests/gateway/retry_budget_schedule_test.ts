import test from "ava";
import { runSchedule } from "./retry_budget_schedule.ts";

/** Fleets and the seeds of their schedules; the two single seeds exceeded the budget once. */
const RUNS = [
  { hosts: 7, requestsPerSecond: 46, extra: 54, first: 1, seeds: 25 },
  { hosts: 7, requestsPerSecond: 300, extra: 54, first: 101, seeds: 10 },
  { hosts: 7, requestsPerSecond: 300, extra: 54, first: 10_007, seeds: 1 },
  { hosts: 7, requestsPerSecond: 46, extra: 0, first: 1_289, seeds: 1 },
  { hosts: 24, requestsPerSecond: 190, extra: 80, first: 201, seeds: 4 },
  { hosts: 87, requestsPerSecond: 300, extra: 214, first: 301, seeds: 1 },
] as const;

for (const { first, seeds, ...size } of RUNS) {
  test(`retries stay within the budget in schedules ${first} to ${first + seeds - 1} of ${size.hosts} hosts at ${size.requestsPerSecond} requests/s`, (t) => {
    for (let seed = first; seed < first + seeds; seed++) {
      const { fleet, description } = runSchedule(seed, size);
      const { retries, allowed } = fleet.findWorstWindow();
      t.true(
        retries <= allowed,
        `seed ${seed}: ${retries} of ${allowed}; ${description.join("; ")}`,
      );
    }
  });
}
