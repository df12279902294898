import { setTimeout as delay } from "node:timers/promises";
import { FakeEngine } from "../fakes/fake_engine.ts";
import type { LedgerRun } from "../fakes/ledger.ts";
import { POLICIES, type PolicyName } from "../src/placement/policies.ts";
import { auditBound } from "./bound_audit.ts";
import { Fleet } from "./fleet.ts";
import { LoadGenerator } from "./load.ts";

const RUN_MS = 6_000;
const ENGINES = 10;
const CACHE_TOKENS = 60_000;

/** Result of one placement policy under one condition. */
export interface PolicyRow {
  condition: string;
  policy: PolicyName;
  /** Cached prompt tokens as a fraction of those that an unlimited cache shared by all engines would have served. */
  reuse: number;
  /** 99th percentile of the ratio of the most loaded engine's requests in flight to the mean. */
  skewP99: number;
  chats: number;
  /** 95th percentile of the duration of complete responses, in milliseconds. */
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
      fleet.stoppedEngines.push(engine);
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

/** Runs every placement policy under every condition with the same seed. */
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
    const load = LoadGenerator.start({
      seed: 1,
      routers: () => fleet.routers.map((router) => router.address),
      chatsByCustomer: {
        "kilima/rosters": 24,
        "kilima/clinics": 6,
        "rodar/dispatch": 10,
      },
      bookingLoops: 0,
      responseTokens: 30,
      firstMessageLength: 6_000,
      pauseMs: [20, 200],
      maxBookingAttempts: 1,
      turnsPerChat: 12,
    });
    await run(fleet);
    const result = await load.stop();
    const runs = [...fleet.engines, ...fleet.stoppedEngines].flatMap((engine) =>
      engine.ledger.runs
    );
    const durations = result.chatDurationsMs.sort((a, b) => a - b);
    return {
      condition,
      policy,
      reuse: measureCacheReuse(runs),
      skewP99: auditBound(fleet.getEngineLoadHistories(), {
        multiple: 2,
        minimum: 4,
        lagMs: 2_000,
      }).skewP99,
      chats: result.chatRequests,
      timeP95: durations[Math.floor(durations.length * 0.95)] ?? 0,
      refused: result.refusedChats,
    };
  } finally {
    await fleet.close();
  }
}

/** Returns the cached prompt tokens as a fraction of those that an unlimited cache shared by all engines would have
 * served; such a cache holds the longest earlier prompt of each chat. */
function measureCacheReuse(runs: LedgerRun[]): number {
  const longestPromptByChat = new Map<string, number>();
  let cachedTokens = 0;
  let reusableTokens = 0;
  for (const run of runs.sort((a, b) => a.startedAt - b.startedAt)) {
    const longestPrompt = longestPromptByChat.get(run.chat) ?? 0;
    reusableTokens += Math.min(longestPrompt, run.promptTokens);
    cachedTokens += Math.min(longestPrompt, run.cachedTokens);
    longestPromptByChat.set(
      run.chat,
      Math.max(longestPrompt, run.promptTokens),
    );
  }
  return reusableTokens === 0 ? 1 : cachedTokens / reusableTokens;
}
