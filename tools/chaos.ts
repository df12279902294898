import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { command, number, option, run } from "cmd-ts";
import { Random } from "../src/random/random.ts";
import { auditBound } from "./bound_audit.ts";
import { FAULTS } from "./faults.ts";
import { Fleet } from "./fleet.ts";
import { Load, type LoadResult } from "./load.ts";
import { findBrokenPromises } from "./verdict.ts";

/** Streams of faults that run side by side, so that faults meet. */
const FAULT_STREAMS = 2;
const SETTLE_MS = 3_000;

interface FaultRun {
  log: string[];
  revisions: string[];
}

/** Injects random faults until a time; watches meanwhile that no router's configuration goes back. */
async function injectFaults(
  fleet: Fleet,
  random: Random,
  endsAt: number,
): Promise<FaultRun> {
  const log: string[] = [];
  const names = Object.keys(FAULTS);
  const stream = async () => {
    while (performance.now() < endsAt) {
      const name = random.pick(names);
      log.push(await FAULTS[name]!(fleet, random));
      await delay(random.integer(100, 1_500));
    }
  };
  const watch = watchRevisions(fleet, endsAt);
  await Promise.all([...Array.from({ length: FAULT_STREAMS }, stream), watch]);
  return { log, revisions: await watch };
}

/** Notes each time that a router, once serving, reports an older configuration than one it had in the same process. */
async function watchRevisions(fleet: Fleet, endsAt: number): Promise<string[]> {
  const seen = new Map<string, { uptime: number; revision: number }>();
  const reverted: string[] = [];
  while (performance.now() < endsAt) {
    for (const router of fleet.routers) {
      const status = await router.getStatus();
      if (!status || status.phase === "starting") continue;
      const before = seen.get(router.id);
      const now = {
        uptime: status.process.uptimeSeconds,
        revision: status.configuration.revision,
      };
      if (
        before && now.uptime > before.uptime && now.revision < before.revision
      ) {
        reverted.push(
          `${router.id} went from revision ${before.revision} back to ${now.revision}`,
        );
      }
      seen.set(router.id, now);
    }
    await delay(200);
  }
  return reverted;
}

function report(
  fleet: Fleet,
  result: LoadResult,
  faults: FaultRun,
  seed: number,
): string[] {
  const serviceRuns = fleet.services.flatMap((service) => service.ledger.runs);
  const broken = [
    ...findBrokenPromises(result, serviceRuns),
    ...faults.revisions,
  ];
  const bound = auditBound(fleet.getEngineLoads(), {
    multiple: 2,
    minimum: 4,
    lagMs: 2_000,
  });
  console.log(`seed ${seed}: ${faults.log.length} faults`);
  for (const line of faults.log) console.log(`  ${line}`);
  const { chats, wholeChats, refusedChats, brokenChats } = result;
  console.log(
    `  chats ${chats}: whole ${wholeChats}, refused ${refusedChats}, visibly broken ${brokenChats}`,
  );
  console.log(
    `  bookings ${result.bookings.length}, runs ${serviceRuns.length}; answers ${
      JSON.stringify(result.kinds)
    }`,
  );
  console.log(
    `  peak in flight ${bound.peak}; starts above the bound ${bound.violations} of ${bound.starts}`,
  );
  for (const line of broken) console.log(`  BROKEN ${line}`);
  return broken;
}

async function runSeed(seed: number, minutes: number): Promise<string[]> {
  const random = Random.create(seed);
  const fleet = await Fleet.create({
    routers: 5,
    engines: 6,
    services: 3,
    proxied: true,
  });
  try {
    const load = Load.start({
      seed,
      routers: () => fleet.routers.map((router) => router.address),
      chats: { "kilima/rosters": 12, "kilima/clinics": 6, "rodar/dispatch": 6 },
      bookers: 8,
      answerTokens: 30,
      openingLength: 2_000,
      pauseMs: [10, 200],
      bookingTries: 5,
      turns: 6,
    });
    const faults = await injectFaults(
      fleet,
      random,
      performance.now() + minutes * 60_000,
    );
    await delay(SETTLE_MS);
    return report(fleet, await load.stop(), faults, seed);
  } finally {
    await fleet.close();
  }
}

const chaos = command({
  name: "chaos",
  description:
    "Run a fleet under random faults and judge it from the stand-ins' ledgers.",
  args: {
    seed: option({
      long: "seed",
      type: number,
      defaultValue: () => 1,
      description: "First seed",
    }),
    seeds: option({
      long: "seeds",
      type: number,
      defaultValue: () => 1,
      description: "Number of seeds",
    }),
    minutes: option({
      long: "minutes",
      type: number,
      defaultValue: () => 0.5,
      description: "Time for each seed",
    }),
  },
  handler: async ({ seed, seeds, minutes }) => {
    let broken = 0;
    for (let index = 0; index < seeds; index++) {
      broken += (await runSeed(seed + index, minutes)).length;
    }
    console.log(`${seeds} seeds, ${broken} broken promises`);
    process.exitCode = broken === 0 ? 0 : 1;
  },
});

await run(chaos, process.argv.slice(2));
