import { build as buildHistogram } from "hdr-histogram-js";
import { request } from "undici";
import { FakeEngine } from "../fakes/fake_engine.ts";
import { Caller } from "./caller.ts";
import { Fleet } from "./fleet.ts";

const REQUEST_COUNT = 400;
const STREAM_COUNT = 40;
const STREAM_TOKENS = 400;

/** Cost of routing a request through the fleet. */
export interface RoutingOverhead {
  /** Latency of a one-token response in microseconds: directly from the engine, and through entry and owner router. */
  directP50: number;
  directP99: number;
  routedP50: number;
  routedP99: number;
  /** Events streamed per second of CPU time, summed over all routers. */
  eventsPerCoreSecond: number;
}

/** Measures latency and CPU time of requests through the routers. */
export async function benchRoutingOverhead(): Promise<RoutingOverhead> {
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
    const direct = await measureLatencies((index) =>
      sendDirectly(engine.port, index)
    );
    const routed = await measureLatencies((index) =>
      caller.chat(options, `chat-${index}`, ["hello"], 1)
    );
    const before = await readCpuMicroseconds(fleet);
    const streams = Array.from(
      { length: STREAM_COUNT },
      (_, index) =>
        caller.chat(options, `stream-${index}`, ["hello"], STREAM_TOKENS),
    );
    await Promise.all(streams);
    const seconds = (await readCpuMicroseconds(fleet) - before) / 1e6;
    return {
      directP50: direct.getValueAtPercentile(50),
      directP99: direct.getValueAtPercentile(99),
      routedP50: routed.getValueAtPercentile(50),
      routedP99: routed.getValueAtPercentile(99),
      eventsPerCoreSecond: STREAM_COUNT * STREAM_TOKENS / seconds,
    };
  } finally {
    await caller.close();
    await engine.close();
    await fleet.close();
  }
}

async function sendDirectly(port: number, index: number): Promise<void> {
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

async function measureLatencies(send: (index: number) => Promise<unknown>) {
  const histogram = buildHistogram();
  for (let index = 0; index < REQUEST_COUNT; index++) {
    const startedAt = performance.now();
    await send(index);
    histogram.recordValue(Math.round((performance.now() - startedAt) * 1_000));
  }
  return histogram;
}

async function readCpuMicroseconds(fleet: Fleet): Promise<number> {
  const statuses = await Promise.all(
    fleet.routers.map((router) => router.getStatus()),
  );
  return statuses.reduce(
    (sum, status) => sum + (status?.process.cpuMicroseconds ?? 0),
    0,
  );
}
