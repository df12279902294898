/** Runs fleets in virtual time through random schedules of kills, reloads, partitions, pauses and growth, and reports
 * each run in which their retries exceed the budget. */
import process from "node:process";
import { command, number, option, run } from "cmd-ts";
import { runSchedule } from "../tests/gateway/retry_budget_schedule.ts";

const huntCommand = command({
  name: "hunt_retry_budget",
  description:
    "Checks the retry budget of fleets in virtual time under random disruptions.",
  args: {
    hosts: option({ long: "hosts", type: number, defaultValue: () => 7 }),
    requestsPerSecond: option({
      long: "rate",
      type: number,
      defaultValue: () => 46,
    }),
    extra: option({ long: "extra", type: number, defaultValue: () => 54 }),
    first: option({ long: "first", type: number, defaultValue: () => 1 }),
    seeds: option({ long: "seeds", type: number, defaultValue: () => 100 }),
  },
  handler: ({ first, seeds, ...size }) => {
    let exceeded = 0;
    let largestUse = 0;
    let retried = 0;
    let failed = 0;
    for (let seed = first; seed < first + seeds; seed++) {
      const { fleet, description } = runSchedule(seed, size);
      const { from, retries, allowed } = fleet.findWorstWindow();
      largestUse = Math.max(largestUse, retries / allowed);
      retried += fleet.retries.length;
      failed += fleet.failures;
      if (retries <= allowed) continue;
      exceeded += 1;
      console.log(`seed ${seed}: ${retries} of ${allowed} from ${from} ms`);
      for (const line of description) console.log(`  ${line}`);
    }
    const retriedFraction = retried / Math.max(1, failed);
    console.log(
      `hosts=${size.hosts} seeds=${seeds} exceeded=${exceeded} ` +
        `largestUse=${largestUse.toFixed(3)} ` +
        `retriedFailures=${retriedFraction.toFixed(3)}`,
    );
    process.exitCode = exceeded === 0 ? 0 : 1;
  },
});

await run(huntCommand, process.argv.slice(2));
