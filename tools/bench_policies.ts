import { setTimeout as delay } from "node:timers/promises";
import { FakeEngine } from "../fakes/fake_engine.ts";
import type { LedgerRun } from "../fakes/ledger.ts";
import { POLICIES, type PolicyName } from "../src/placement/policies.ts";
import { auditBound } from "./bound_audit.ts";
import { Fleet } from "./fleet.ts";
import { Load } from "./load.ts";

const RUN_MS = 6_000;
const ENGINES = 10;
const CACHE_TOKENS = 60_000;

/** What one policy did under one condition. */
export interface PolicyRow {
  condition: string;
  policy: PolicyName;
  /** Warm prompt tokens, as a part of those that an endless shared cache would have found. */
  reuse: number;
  /** 99th percentile of the greatest number in flight on one engine over the mean. */
  skewP99: number;
  chats: number;
  /** 95th percentile of the time of a whole answer, in milliseconds. */
  timeP95: number;
  refused: number;
}

type Condition = (fleet: Fleet) => Promise<void>;

const CONDITIONS: Record<string, Condition> = {
  calm: async () => {
    await delay(RUN_MS);
  },
  "engines replaced": async (fleet) => {
    for (let index = 0; index < 3; index++) {
      await delay(RUN_MS / 4);
      const engine = fleet.engines[index]!;
      await engine.close();
      fleet.retired.push(engine);
      fleet.engines[index] = await FakeEngine.create({
        ...engine.options,
        port: engine.port,
      });
    }
    await delay(RUN_MS / 4);
  },
  "one engine slow": async (fleet) => {
    fleet.engines[3]!.slowness = 6;
    await delay(RUN_MS);
  },
};

/** Runs every policy under every condition with the same seed. */
export async function benchPolicies(): Promise<PolicyRow[]> {
  const rows: PolicyRow[] = [];
  for (const [condition, run] of Object.entries(CONDITIONS)) {
    for (const policy of Object.keys(POLICIES) as PolicyName[]) {
      rows.push(await runPolicy(condition, run, policy));
    }
  }
  return rows;
}

async function runPolicy(
  condition: string,
  run: Condition,
  policy: PolicyName,
): Promise<PolicyRow> {
  const settings = { routing: { policy } };
  const fleet = await Fleet.create({
    engines: ENGINES,
    settings,
    engine: { cacheTokens: CACHE_TOKENS },
  });
  try {
    const load = Load.start({
      seed: 1,
      routers: () => fleet.routers.map((router) => router.address),
      chats: {
        "kilima/rosters": 24,
        "kilima/clinics": 6,
        "rodar/dispatch": 10,
      },
      bookers: 0,
      answerTokens: 30,
      openingLength: 6_000,
      pauseMs: [20, 200],
      bookingTries: 1,
      turns: 12,
    });
    await run(fleet);
    const result = await load.stop();
    const runs = [...fleet.engines, ...fleet.retired].flatMap((engine) =>
      engine.ledger.runs
    );
    const times = result.chatTimes.sort((a, b) => a - b);
    return {
      condition,
      policy,
      reuse: measureReuse(runs),
      skewP99: auditBound(fleet.getEngineLoads(), {
        multiple: 2,
        minimum: 4,
        lagMs: 2_000,
      }).skewP99,
      chats: result.chats,
      timeP95: times[Math.floor(times.length * 0.95)] ?? 0,
      refused: result.refusedChats,
    };
  } finally {
    await fleet.close();
  }
}

/** Compares with a cache that all engines share and that never forgets: it finds each chat's former context. */
function measureReuse(runs: LedgerRun[]): number {
  const longest = new Map<string, number>();
  let found = 0;
  let possible = 0;
  for (const run of runs.sort((a, b) => a.startedAt - b.startedAt)) {
    const known = longest.get(run.chat) ?? 0;
    possible += Math.min(known, run.promptTokens);
    found += Math.min(known, run.cachedTokens);
    longest.set(run.chat, Math.max(known, run.promptTokens));
  }
  return possible === 0 ? 1 : found / possible;
}
