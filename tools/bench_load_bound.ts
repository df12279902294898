/** `npm run bench:bound`: counts requests that real gateways send to engines above the load bound. */
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { command, number, option, run } from "cmd-ts";
import { Agent, request } from "undici";
import { getShare, LoadBoundLedger } from "../fakes/load_bound_ledger.ts";
import {
  type PromptRequest,
  PromptTraffic,
  REQUEST_KIND_NAMES,
} from "../fakes/prompt_traffic.ts";
import { HOST } from "../soak/soak_configuration.ts";
import { PERMANENT_KEY } from "../soak/soak_customers.ts";
import { SoakFleet } from "../soak/soak_fleet.ts";
import { Random } from "../src/random/random.ts";
import { TimedEngine } from "./timed_engine.ts";

/** Load bound as a multiple of the mean load; the default of the gateways. */
const BOUND_MULTIPLE = 2;
/** Time allowed for gateways to discover the engines before traffic starts, in milliseconds. */
const SETTLE_MS = 2_000;
/** Time after the start of traffic at which some prompts become popular, in milliseconds. */
const HOT_PROMPTS_START_MS = 5_000;
/** Configuration version; higher than those that the fleet publishes itself. */
const CONFIGURATION_VERSION = 1_000;
/** Request timeout, in milliseconds. */
const REQUEST_TIMEOUT_MS = 12_000;

interface BenchOptions {
  hosts: number;
  engines: number;
  rate: number;
  hot: number;
  seed: number;
  seconds: number;
}

function publishRoutes(fleet: SoakFleet): void {
  fleet.store.put("op/config", {
    version: CONFIGURATION_VERSION,
    routes: REQUEST_KIND_NAMES.map((name) => ({
      name,
      host: HOST,
      path_prefix: `/${name}/`,
      route_kind: "streaming",
      timeout_ms: REQUEST_TIMEOUT_MS,
      slo_ms: 600,
      service: "engine",
      max_attempts: 1,
      sticky: true,
      gap_target_ms: 300,
    })),
    services: [{ name: "engine", max_conns: 300, engine: { moves: false } }],
    tenants: [{ name: "customer", api_keys: [PERMANENT_KEY] }],
  });
}

/** Sends one request and reads the response; returns its status code, or 0 if the connection failed. */
async function sendRequest(
  agent: Agent,
  address: string,
  id: number,
  { kind, prompt, tokens, events }: PromptRequest,
): Promise<number> {
  try {
    const { statusCode, body } = await request(
      `http://${address}/${kind}/${events}`,
      {
        method: "POST",
        dispatcher: agent,
        headers: {
          host: HOST,
          "x-api-key": PERMANENT_KEY,
          "x-beechkeel-attempt-id": `bench-${id}`,
          "x-beechkeel-deadline-ms": String(REQUEST_TIMEOUT_MS),
          "x-beechkeel-model": "m",
          "x-beechkeel-token-usage": `${tokens + 100},400`,
          "x-beechkeel-prefix-hash": `${prompt.toString(16)}:${tokens},f${
            id.toString(16)
          }:100`,
        },
        body: `request ${id}`,
      },
    );
    await body.dump({ limit: Infinity });
    return statusCode;
  } catch {
    return 0;
  }
}

async function sendTraffic(
  fleet: SoakFleet,
  options: BenchOptions,
): Promise<Record<number, number>> {
  const { rate, hot, seed, seconds } = options;
  const random = Random.create(seed);
  const traffic = PromptTraffic.create({
    requestsPerSecond: rate,
    hotShare: hot,
    hotPrompts: 1,
    hotFromMs: HOT_PROMPTS_START_MS,
    hotForMs: Infinity,
  }, random);
  const agent = new Agent({ connections: null });
  const statuses: Record<number, number> = {};
  const calls: Promise<void>[] = [];
  const startedAt = performance.now();
  let nextAt = startedAt;
  while (nextAt < startedAt + seconds * 1_000) {
    await delay(Math.max(0, nextAt - performance.now()));
    const nextRequest = traffic.drawRequest(nextAt - startedAt);
    const { callerAddress } = random.pick(fleet.gateways);
    calls.push(
      sendRequest(agent, callerAddress, calls.length, nextRequest).then(
        (status) => {
          statuses[status] = (statuses[status] ?? 0) + 1;
        },
      ),
    );
    nextAt += traffic.drawInterarrivalMs();
  }
  await Promise.all(calls);
  await agent.close();
  return statuses;
}

async function bench(options: BenchOptions): Promise<void> {
  const { hosts: gateways, seed } = options;
  const fleet = await SoakFleet.create({
    seed,
    gateways,
    engines: 0,
    plain: 0,
  });
  const ledger = LoadBoundLedger.create(BOUND_MULTIPLE);
  const engines: TimedEngine[] = [];
  const recordArrival = (held: number) =>
    ledger.recordArrival(performance.now(), held, engines);
  try {
    for (let index = 0; index < options.engines; index++) {
      const engine = await TimedEngine.create(`engine-${index}`, recordArrival);
      engines.push(engine);
      fleet.store.put(
        `servers/${engine.id}`,
        engine.buildServerEntry("engine"),
      );
    }
    publishRoutes(fleet);
    await delay(SETTLE_MS);
    const statuses = await sendTraffic(fleet, options);
    const { worstWindow, maxExcess, requests } = ledger;
    const prefilledTokens = engines.reduce(
      (sum, engine) => sum + engine.prefilledTokens,
      0,
    );
    console.table([{
      ...options,
      requests,
      "worst 5 s": `${worstWindow.above} of ${worstWindow.requests}`,
      part: Number(getShare(worstWindow).toFixed(4)),
      "most above": Number(maxExcess.toFixed(1)),
      "tokens read": prefilledTokens,
      statuses: JSON.stringify(statuses),
    }]);
  } finally {
    await fleet.close();
    await Promise.all(engines.map((engine) => engine.close()));
  }
}

const benchCommand = command({
  name: "bench:bound",
  description:
    "Sends traffic with popular prompts through real gateways and counts requests to engines above the load bound.",
  args: {
    hosts: option({ type: number, long: "hosts", defaultValue: () => 7 }),
    engines: option({ type: number, long: "engines", defaultValue: () => 18 }),
    rate: option({
      type: number,
      long: "rate",
      description: "Requests per second.",
      defaultValue: () => 120,
    }),
    hot: option({
      type: number,
      long: "hot",
      description:
        "Fraction of the requests that use one popular prompt of their kind.",
      defaultValue: () => 0.6,
    }),
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    seconds: option({ type: number, long: "seconds", defaultValue: () => 20 }),
  },
  handler: bench,
});

await run(benchCommand, process.argv.slice(2));
