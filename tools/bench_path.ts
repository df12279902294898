import { build as buildHistogram } from "hdr-histogram-js";
import { request } from "undici";
import { FakeEngine } from "../fakes/fake_engine.ts";
import { Caller } from "./caller.ts";
import { Fleet } from "./fleet.ts";

const REQUESTS = 400;
const STREAMS = 40;
const STREAM_TOKENS = 400;

/** What the way through the routers costs. */
export interface PathReport {
  /** Microseconds to the end of a one-token answer: straight from the engine, and through entry and owner. */
  directP50: number;
  directP99: number;
  routedP50: number;
  routedP99: number;
  /** Events streamed for each second of processor time of all routers. */
  eventsPerCoreSecond: number;
}

/** Measures the cost of the path. */
export async function benchPath(): Promise<PathReport> {
  const fleet = await Fleet.create({
    routers: 2,
    engines: 4,
    services: 0,
    engine: { tokenMs: 1 },
  });
  const engine = await FakeEngine.create({ tokenMs: 1 });
  const caller = Caller.create();
  try {
    const router = fleet.routers[0]!.address;
    const options = { customer: "kilima/rosters", router };
    const direct = await timeEach((index) => askDirectly(engine.port, index));
    const routed = await timeEach((index) =>
      caller.chat(options, `chat-${index}`, ["hello"], 1)
    );
    const before = await readProcessor(fleet);
    const streams = Array.from(
      { length: STREAMS },
      (_, index) =>
        caller.chat(options, `stream-${index}`, ["hello"], STREAM_TOKENS),
    );
    await Promise.all(streams);
    const seconds = (await readProcessor(fleet) - before) / 1e6;
    return {
      directP50: direct.getValueAtPercentile(50),
      directP99: direct.getValueAtPercentile(99),
      routedP50: routed.getValueAtPercentile(50),
      routedP99: routed.getValueAtPercentile(99),
      eventsPerCoreSecond: STREAMS * STREAM_TOKENS / seconds,
    };
  } finally {
    await caller.close();
    await engine.close();
    await fleet.close();
  }
}

async function askDirectly(port: number, index: number): Promise<void> {
  const body = JSON.stringify({
    max_tokens: 1,
    messages: [{ content: "hello" }],
  });
  const headers = { "x-request-id": `direct-${index}` };
  const response = await request(
    `http://127.0.0.1:${port}/v1/chat/completions`,
    { method: "POST", headers, body },
  );
  await response.body.text();
}

async function timeEach(ask: (index: number) => Promise<unknown>) {
  const histogram = buildHistogram();
  for (let index = 0; index < REQUESTS; index++) {
    const startedAt = performance.now();
    await ask(index);
    histogram.recordValue(Math.round((performance.now() - startedAt) * 1_000));
  }
  return histogram;
}

async function readProcessor(fleet: Fleet): Promise<number> {
  const statuses = await Promise.all(
    fleet.routers.map((router) => router.getStatus()),
  );
  return statuses.reduce(
    (sum, status) => sum + (status?.process.cpuMicroseconds ?? 0),
    0,
  );
}
