/** Runs fleets in virtual time through random schedules of kills, reloads, partitions, pauses and growth, and reports
 * each run in which their retries exceed the budget. */
import process from "node:process";
import { parseArgs } from "node:util";
import { runSchedule } from "../tests/gateway/retry_budget_schedule.ts";

const { values } = parseArgs({
  options: {
    hosts: { type: "string", default: "7" },
    rate: { type: "string", default: "46" },
    extra: { type: "string", default: "54" },
    first: { type: "string", default: "1" },
    seeds: { type: "string", default: "100" },
  },
});
const size = {
  hosts: Number(values.hosts),
  requestsPerSecond: Number(values.rate),
  extra: Number(values.extra),
};
const first = Number(values.first);
let exceeded = 0;
let largestUse = 0;
let retried = 0;
let failed = 0;
for (let seed = first; seed < first + Number(values.seeds); seed++) {
  const { fleet, description } = runSchedule(seed, size);
  const { from, retries, allowed } = fleet.findWorstWindow();
  largestUse = Math.max(largestUse, retries / allowed);
  retried += fleet.retries.length;
  failed += fleet.failures;
  if (retries <= allowed) continue;
  exceeded += 1;
  console.log(`seed ${seed}: ${retries} retries of ${allowed} from ${from} ms`);
  for (const line of description) console.log(`  ${line}`);
}
console.log(
  `hosts=${values.hosts} seeds=${values.seeds} exceeded=${exceeded} largestUse=${
    largestUse.toFixed(3)
  } retriedFailures=${(retried / Math.max(1, failed)).toFixed(3)}`,
);
process.exitCode = exceeded === 0 ? 0 : 1;
