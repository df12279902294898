/** `npm run stops`: stops gateways while callers stream on kept connections, and prints what became of the streams. */
import process from "node:process";
import { command, flag, number, option, optional, run, string } from "cmd-ts";
import { countStops, findStopBreaches } from "./stop_report.ts";
import { StopRun } from "./stop_run.ts";
import { STREAM_DURATIONS } from "./stream_durations.ts";

const stopsCommand = command({
  name: "stops",
  description: "Stops gateways, and counts the streams that were cut.",
  args: {
    seed: option({ long: "seed", type: number, defaultValue: () => 1 }),
    seeds: option({ long: "seeds", type: number, defaultValue: () => 1 }),
    durations: option({ long: "durations", type: optional(string) }),
    gateways: option({ long: "gateways", type: number, defaultValue: () => 3 }),
    workers: option({ long: "workers", type: number, defaultValue: () => 6 }),
    rate: option({ long: "rate", type: number, defaultValue: () => 25 }),
    stops: option({ long: "stops", type: number, defaultValue: () => 1 }),
    gap: option({ long: "gap", type: number, defaultValue: () => 1_500 }),
    limit: option({ long: "limit", type: number, defaultValue: () => 8_000 }),
    once: flag({ long: "once", description: "Streams can't be resumed." }),
    logs: flag({ long: "logs", description: "Prints lines of the stops." }),
  },
  handler: async (args) => {
    const names = args.durations === undefined
      ? Object.keys(STREAM_DURATIONS)
      : [args.durations];
    let failed = 0;
    for (let seed = args.seed; seed < args.seed + args.seeds; seed++) {
      for (const durations of names) {
        const result = await StopRun.run({
          seed,
          durations,
          gateways: args.gateways,
          workers: args.workers,
          ratePerSecond: args.rate,
          stopWithinMs: args.limit,
          stops: args.stops,
          stopGapMs: args.gap,
          isResumable: !args.once,
        });
        const counts = countStops(result, args.limit);
        const breaches = findStopBreaches(counts);
        if (breaches.length > 0) failed += 1;
        const exits = result.stops.map(({ at, exitedAt }) =>
          Math.round((exitedAt ?? Infinity) - at)
        );
        console.log(
          `seed ${seed} ${durations}: ${
            JSON.stringify(counts)
          }, gone after ${exits} ms`,
        );
        for (const breach of breaches) console.log(`  ${breach}`);
        if (!args.logs) continue;
        for (const [id, lines] of result.logs) {
          for (const line of lines) {
            if (/stop_|draining|call_unfinished|connection/.test(line)) {
              console.log(id, line);
            }
          }
        }
      }
    }
    console.log(`${failed} runs with breaches`);
    process.exit(failed === 0 ? 0 : 1);
  },
});

await run(stopsCommand, process.argv.slice(2));
