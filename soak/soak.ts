/** `npm run soak`: runs seeds of random faults one after the other and prints what each found. */
import { mkdirSync, writeFileSync } from "node:fs";
import process from "node:process";
import {
  array,
  command,
  flag,
  multioption,
  number,
  option,
  run,
  string,
} from "cmd-ts";
import { runSeed } from "./run_seed.ts";
import type { SeedResult } from "./seed_result.ts";

/** Folder for the logs of seeds that failed. */
const REPORTS = "reports/soak";

const soakCommand = command({
  name: "soak",
  description:
    "Runs gateways as processes under random faults and judges what callers and workers saw.",
  args: {
    seed: option({ long: "seed", type: number, defaultValue: () => 1 }),
    seeds: option({ long: "seeds", type: number, defaultValue: () => 1 }),
    seconds: option({ long: "seconds", type: number, defaultValue: () => 20 }),
    size: option({ long: "size", type: number, defaultValue: () => 1 }),
    faults: multioption({ long: "fault", type: array(string) }),
    withoutTimes: flag({
      long: "without-times",
      description: "Leaves out the promises about time, beside other load.",
    }),
  },
  handler: async (args) => {
    let failed = 0;
    for (let seed = args.seed; seed < args.seed + args.seeds; seed++) {
      const result = await runSeed({
        seed,
        faultsMs: args.seconds * 1_000,
        judgesTimes: !args.withoutTimes,
        size: args.size,
        faults: args.faults,
      });
      print(result);
      if (result.breaches.length === 0) continue;
      failed += 1;
      keep(result);
    }
    console.log(
      `${args.seeds - failed} seeds kept all promises, ${failed} did not`,
    );
    process.exit(failed === 0 ? 0 : 1);
  },
});

function print(result: SeedResult): void {
  const { seed, attempts, endings, faults, crashes, breaches } = result;
  console.log(
    `seed ${seed}: ${attempts} requests, ${faults.length} faults, ${breaches.length} breaches`,
  );
  const counts = Object.entries(endings).sort().map(([ending, count]) =>
    `${ending} ${count}`
  );
  console.log(`  ${counts.join(", ")}`);
  console.log(
    `  ${crashes.requests} crashing requests ended ${crashes.crashes} workers; ${crashes.innocentRefused} tries of others were refused like them`,
  );
  for (const breach of breaches.slice(0, 12)) console.log(`  ${breach}`);
}

function keep(result: SeedResult): void {
  mkdirSync(REPORTS, { recursive: true });
  const path = `${REPORTS}/seed-${result.seed}.json`;
  writeFileSync(path, JSON.stringify(result, undefined, 1));
  console.log(`  kept in ${path}`);
}

await run(soakCommand, process.argv.slice(2));
