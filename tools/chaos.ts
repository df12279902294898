import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { command, number, option, run } from "cmd-ts";
import { Random } from "../src/random/random.ts";
import { auditBound } from "./bound_audit.ts";
import { FAULTS } from "./faults.ts";
import { Fleet } from "./fleet.ts";
import { LoadGenerator, type LoadResult } from "./load.ts";
import { findInvariantViolations } from "./verdict.ts";

/** Number of concurrent fault injectors; more than one, so that faults overlap. */
const CONCURRENT_FAULTS = 2;
const SETTLE_MS = 3_000;

interface FaultReport {
  injectedFaults: string[];
  revisionRegressions: string[];
}

/** Injects random faults until a deadline and checks meanwhile that no router reverts to an older configuration. */
async function injectFaults(
  fleet: Fleet,
  random: Random,
  deadline: number,
): Promise<FaultReport> {
  const injectedFaults: string[] = [];
  const names = Object.keys(FAULTS);
  const injectRepeatedly = async () => {
    while (performance.now() < deadline) {
      const name = random.pick(names);
      injectedFaults.push(await FAULTS[name]!(fleet, random));
      await delay(random.integer(100, 1_500));
    }
  };
  const regressions = findRevisionRegressions(fleet, deadline);
  await Promise.all([
    ...Array.from({ length: CONCURRENT_FAULTS }, injectRepeatedly),
    regressions,
  ]);
  return {
    injectedFaults,
    revisionRegressions: await regressions,
  };
}

/** Polls the routers until a deadline and returns a line for each time that a router that is past its start reports an
 * older configuration revision than before in the same process. */
async function findRevisionRegressions(
  fleet: Fleet,
  deadline: number,
): Promise<string[]> {
  const lastSeen = new Map<string, { uptime: number; revision: number }>();
  const regressions: string[] = [];
  while (performance.now() < deadline) {
    for (const router of fleet.routers) {
      const status = await router.getStatus();
      if (!status || status.phase === "starting") continue;
      const previous = lastSeen.get(router.id);
      const current = {
        uptime: status.process.uptimeSeconds,
        revision: status.configuration.revision,
      };
      if (
        previous && current.uptime > previous.uptime &&
        current.revision < previous.revision
      ) {
        regressions.push(
          `${router.id} reverted from revision ${previous.revision} to ${current.revision}`,
        );
      }
      lastSeen.set(router.id, current);
    }
    await delay(200);
  }
  return regressions;
}

function reportViolations(
  fleet: Fleet,
  result: LoadResult,
  faults: FaultReport,
  seed: number,
): string[] {
  const serviceRuns = fleet.services.flatMap((service) => service.ledger.runs);
  const violations = [
    ...findInvariantViolations(result, serviceRuns),
    ...faults.revisionRegressions,
  ];
  const bound = auditBound(fleet.getEngineLoadHistories(), {
    multiple: 2,
    minimum: 4,
    lagMs: 2_000,
  });
  console.log(`seed ${seed}: ${faults.injectedFaults.length} faults`);
  for (const line of faults.injectedFaults) console.log(`  ${line}`);
  const { chatRequests, completeChats, refusedChats, failedChats } = result;
  console.log(
    `  chat requests ${chatRequests}: complete ${completeChats}, refused ${refusedChats}, failed ${failedChats}`,
  );
  console.log(
    `  bookings ${result.bookings.length}, runs ${serviceRuns.length}; responses by kind ${
      JSON.stringify(result.responsesByKind)
    }`,
  );
  console.log(
    `  peak in flight ${bound.peakInFlight}; starts above the load bound ${bound.violations} of ${bound.starts}`,
  );
  for (const line of violations) console.log(`  VIOLATION ${line}`);
  return violations;
}

async function runSeed(seed: number, minutes: number): Promise<string[]> {
  const random = Random.create(seed);
  const fleet = await Fleet.create({
    routers: 5,
    engines: 6,
    services: 3,
    useProxies: true,
  });
  try {
    const load = LoadGenerator.start({
      seed,
      routers: () => fleet.routers.map((router) => router.address),
      chatsByCustomer: {
        "kilima/rosters": 12,
        "kilima/clinics": 6,
        "rodar/dispatch": 6,
      },
      bookingLoops: 8,
      responseTokens: 30,
      firstMessageLength: 2_000,
      pauseMs: [10, 200],
      maxBookingAttempts: 5,
      turnsPerChat: 6,
    });
    const faults = await injectFaults(
      fleet,
      random,
      performance.now() + minutes * 60_000,
    );
    await delay(SETTLE_MS);
    return reportViolations(fleet, await load.stop(), faults, seed);
  } finally {
    await fleet.close();
  }
}

const chaos = command({
  name: "chaos",
  description:
    "Run a fleet under random faults and check its invariants against the ledgers of the fake upstreams.",
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
      description: "Duration of the run of each seed",
    }),
  },
  handler: async ({ seed, seeds, minutes }) => {
    let violations = 0;
    for (let index = 0; index < seeds; index++) {
      violations += (await runSeed(seed + index, minutes)).length;
    }
    console.log(`${seeds} seeds, ${violations} invariant violations`);
    process.exitCode = violations === 0 ? 0 : 1;
  },
});

await run(chaos, process.argv.slice(2));
