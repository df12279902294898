/** Guards against a part of prompts that crashes each upstream which begins to answer it, in requests that are
 * otherwise different. */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import type { FakeWorker } from "../../fakes/fake_worker.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { call, locate } from "./call.ts";
import {
  buildStreamHeaders,
  CRASH_KINDS,
  crashOnPart,
  respondUnframed,
  sendCrashing,
  sendSound,
  writeUnframed,
} from "./crashing_prompts.ts";
import {
  type GatewayFleet,
  type TestGateway,
  withGateways,
} from "./with_gateways.ts";

const KEY = "key-1";
const STREAMS = { route_kind: "streaming", max_attempts: 2 };
const GATEWAYS = 3;
const WORKERS = 26;
/** Number of crashes after which all hosts must know the part within the settling time. */
const KNOWN_CRASHES = 5;
const SETTLING_MS = 1_000;
/** Maximum number of crashing prompts that may reach workers after that. */
const MAX_LATE_CRASHES = 3;
/** Maximum number of crashing prompts before the settling time, and their number after it. */
const EARLY_CALLS = 10;
const LATE_CALLS = 15;
const SOUND_CALLS_PER_CRASHING = 3;

async function startGateways(fleet: GatewayFleet): Promise<TestGateway[]> {
  fleet.publishConfiguration(1, [KEY], STREAMS);
  for (let index = 0; index < GATEWAYS; index++) await fleet.startGateway();
  for (const gateway of fleet.gateways) {
    await waitUntil(
      "all gateways are listed",
      async () => (await locate(gateway)).length === GATEWAYS,
    );
  }
  return fleet.gateways;
}

function countCrashes(workers: readonly FakeWorker[]): number {
  return workers.filter((worker) => worker.hasCrashed).length;
}

/** Sends a crashing prompt and sound ones at once; returns how many of the sound ones were answered. */
async function sendRound(
  gateways: readonly TestGateway[],
  round: number,
): Promise<number> {
  const gateway = gateways[round % gateways.length]!;
  const crashing = sendCrashing(gateway, KEY);
  const sound = await Promise.all(
    Array.from(
      { length: SOUND_CALLS_PER_CRASHING },
      (_, index) => sendSound(gateways[index]!, KEY, round + index),
    ),
  );
  await crashing;
  return sound.filter(({ status }) => status === 200).length;
}

for (const [kind, crash] of Object.entries(CRASH_KINDS)) {
  test(`a prompt part that crashes upstreams ${kind} is withheld from the rest, and prompts with the same first part are served`, async (t) => {
    await withGateways(async (fleet) => {
      const workers = await fleet.startWorkers("s", WORKERS);
      for (const worker of workers) worker.behaviour = crashOnPart(crash);
      const gateways = await startGateways(fleet);
      for (
        let round = 0;
        round < EARLY_CALLS && countCrashes(workers) < KNOWN_CRASHES;
        round++
      ) await sendRound(gateways, round);
      await delay(SETTLING_MS);
      const known = countCrashes(workers);
      let answered = 0;
      for (let round = 0; round < LATE_CALLS; round++) {
        answered += await sendRound(gateways, round);
      }
      const late = countCrashes(workers) - known;
      t.true(late <= MAX_LATE_CRASHES, `${known} crashes, then ${late} more`);
      const sound = LATE_CALLS * SOUND_CALLS_PER_CRASHING;
      t.true(answered >= sound * 0.98, `${answered} of ${sound}`);
      const refused = await sendCrashing(gateways[0]!, KEY);
      t.is(refused.status, 503);
      t.regex(refused.body, /crashes_upstreams/);
    });
  });
}

test("a response without a length that ends because its upstream crashed is not passed on as complete", async (t) => {
  await withGateways(async (fleet) => {
    const [worker] = await fleet.startWorkers("s", 1);
    const [gateway] = await startGateways(fleet);
    worker!.behaviour = (request, response, self) => {
      writeUnframed(response, self.buildSealHeaders(request), "half of a te");
      setImmediate(() => self.crash());
    };
    const buffered = await call(gateway!, KEY);
    t.is(buffered.status, 502);
  });
});

test("a stream without a length that ends between two events because its upstream crashed is broken off", async (t) => {
  await withGateways(async (fleet) => {
    const [worker] = await fleet.startWorkers("s", 1);
    const [gateway] = await startGateways(fleet);
    worker!.behaviour = (request, response, self) => {
      const headers = buildStreamHeaders(request, self);
      writeUnframed(response, headers, "id: 1\ndata: x\n\n");
      setImmediate(() => self.crash());
    };
    await t.throwsAsync(call(gateway!, KEY));
  });
});

test("a response without a length from an upstream that still runs is complete", async (t) => {
  await withGateways(async (fleet) => {
    const [worker] = await fleet.startWorkers("s", 1);
    const [gateway] = await startGateways(fleet);
    worker!.behaviour = respondUnframed;
    const received = await sendSound(gateway!, KEY, 0);
    t.is(received.status, 200);
    t.is(received.body, "id: 1\ndata: x\n\n");
  });
});
