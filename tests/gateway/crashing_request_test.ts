/** Guards against a request that crashes every engine that starts it. A caller repeated such a request at any host and
 * crashed fifteen engines, which broke the responses to all requests in flight there. Each repetition had its own id,
 * and no host remembered a request beyond the attempts of one repetition. The log shows it as lines of `attempt_failed`
 * with `detail="other side closed" attempt=1`, here one for each of eleven crashes, with equal customer and prompt but
 * different hosts and ids. */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import {
  type FakeWorker,
  respondSuccessfully,
} from "../../fakes/fake_worker.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { call, locate } from "./call.ts";
import {
  type GatewayFleet,
  type TestGateway,
  withGateways,
} from "./with_gateways.ts";

const KEY = "key-1";
/** Body that crashes each worker that starts the request. */
const CRASHING_BODY = "a body that crashes";
const WORKERS = 12;
const GATEWAYS = 3;
const CALLS = 24;
/** Pause between the calls: one gossip round. */
const PAUSE_MS = 200;
/** Maximum number of crashed workers: three, after which the request is known to crash them, and as many repetitions
 * again. */
const MAX_CRASHES = 6;

async function startWorkers(fleet: GatewayFleet): Promise<FakeWorker[]> {
  const workers = await fleet.startWorkers("s", WORKERS);
  for (const worker of workers) {
    worker.behaviour = (request, response, self) => {
      const isCrashing = self.arrivals.at(-1)?.body === CRASHING_BODY;
      if (isCrashing) self.crash();
      else respondSuccessfully(request, response, self);
    };
  }
  return workers;
}

async function startGateways(fleet: GatewayFleet): Promise<TestGateway[]> {
  const gateways: TestGateway[] = [];
  for (let index = 0; index < GATEWAYS; index++) {
    gateways.push(await fleet.startGateway());
  }
  for (const gateway of gateways) {
    await waitUntil(
      "all gateways are listed",
      async () => (await locate(gateway)).length === GATEWAYS,
    );
  }
  return gateways;
}

function countCrashes(workers: readonly FakeWorker[]): number {
  return workers.filter((worker) => worker.hasCrashed).length;
}

test("a request that crashes workers is withheld from the rest at every host", async (t) => {
  await withGateways(async (fleet) => {
    const workers = await startWorkers(fleet);
    fleet.publishConfiguration(1, [KEY], { max_attempts: 1 });
    const gateways = await startGateways(fleet);
    for (let index = 0; index < CALLS; index++) {
      const gateway = gateways[index % GATEWAYS]!;
      await call(gateway, KEY, { body: CRASHING_BODY });
      await delay(PAUSE_MS);
    }
    const crashes = countCrashes(workers);
    t.true(crashes <= MAX_CRASHES, `${crashes} workers crashed`);
    for (const gateway of gateways) {
      const refused = await call(gateway, KEY, { body: CRASHING_BODY });
      t.is(refused.status, 503);
      t.truthy(refused.headers["retry-after"]);
      t.is((await call(gateway, KEY)).status, 200);
    }
    t.is(countCrashes(workers), crashes);
  });
});
