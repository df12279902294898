/** `npm run soak`: runs seeds of random faults one after the other and prints the result of each. */
import process from "node:process";
import {
  array,
  command,
  flag,
  multioption,
  number,
  oneOf,
  option,
  optional,
  run,
  string,
} from "cmd-ts";
import { runSeed } from "./run_seed.ts";
import type { SeedResult } from "./seed_result.ts";
import { LOAD_KINDS } from "./worker_load.ts";
import { writeReport } from "./write_report.ts";

const soakCommand = command({
  name: "soak",
  description:
    "Runs gateways as processes under random faults and checks the invariants on what callers and workers saw.",
  args: {
    seed: option({ long: "seed", type: number, defaultValue: () => 1 }),
    seeds: option({ long: "seeds", type: number, defaultValue: () => 1 }),
    seconds: option({ long: "seconds", type: number, defaultValue: () => 20 }),
    size: option({ long: "size", type: number, defaultValue: () => 1 }),
    faults: multioption({ long: "fault", type: array(string) }),
    load: option({
      long: "load",
      type: optional(oneOf(LOAD_KINDS)),
      description: "How workers are loaded; by default in turn by seed.",
    }),
    withoutTimes: flag({
      long: "without-times",
      description:
        "Skips the invariants about timing, for a machine with other load.",
    }),
  },
  handler: async (args) => {
    let failed = 0;
    for (let seed = args.seed; seed < args.seed + args.seeds; seed++) {
      const result = await runSeed({
        seed,
        faultsMs: args.seconds * 1_000,
        checksTiming: !args.withoutTimes,
        size: args.size,
        faults: args.faults,
        load: args.load ?? LOAD_KINDS[seed % LOAD_KINDS.length]!,
      });
      printResult(result);
      if (result.breaches.length === 0) continue;
      failed += 1;
      console.log(`  report written to ${writeReport(result)}`);
    }
    console.log(
      `${args.seeds - failed} seeds kept all invariants, ${failed} did not`,
    );
    process.exit(failed === 0 ? 0 : 1);
  },
});

function printResult(result: SeedResult): void {
  const { seed, load, attempts, endings, faults, crashes, resumes, breaches } =
    result;
  console.log(
    `seed ${seed} (${load} load): ${attempts} requests, ${faults.length} faults, event loop delays up to ${result.lagMs} ms, ${breaches.length} breaches`,
  );
  const counts = Object.entries(endings).sort().map(([ending, count]) =>
    `${ending} ${count}`
  );
  console.log(`  ${counts.join(", ")}`);
  console.log(
    `  ${crashes.requests} crashing requests and ${crashes.parts} crashing parts crashed ${crashes.crashes} workers; ${crashes.innocentRefused} attempts of other requests were refused as crashing`,
  );
  console.log(
    `  ${resumes.continued} of ${resumes.sent} attempts to resume a stream continued`,
  );
  for (const breach of breaches.slice(0, 12)) console.log(`  ${breach}`);
}

await run(soakCommand, process.argv.slice(2));
