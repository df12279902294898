/** A caller sent one request again and again, at any host, and each engine that began it crashed: fifteen in all, and with
 * them the answers of all that ran beside it. Each try had an id of its own, and no host remembered more of a request than
 * the attempts of one try. What settled it were lines of `attempt_failed` with `detail="other side closed" attempt=1`, one
 * from each of eleven crashes, that agree in customer and prompt while their hosts and ids differ. */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { answerWell, type FakeWorker } from "../../fakes/fake_worker.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { call, locate } from "./call.ts";
import {
  type GatewayFleet,
  type TestGateway,
  withGateways,
} from "./with_gateways.ts";

const KEY = "key-1";
/** Body that crashes the worker which begins it. */
const CRASHING = "a body that crashes";
const WORKERS = 12;
const GATEWAYS = 3;
const TRIES = 24;
/** Pause between a caller's tries, in milliseconds: a round of gossip. */
const PAUSE_MS = 200;
/** Workers that may end: three, after which the request is known to crash them, and as many tries again. */
const MOST_CRASHES = 6;

async function startWorkers(fleet: GatewayFleet): Promise<FakeWorker[]> {
  const workers = await fleet.startWorkers("s", WORKERS);
  for (const worker of workers) {
    worker.behaviour = (request, response, self) => {
      const isCrashing = self.arrivals.at(-1)?.body === CRASHING;
      if (isCrashing) self.crash();
      else answerWell(request, response, self);
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
      "all are named",
      async () => (await locate(gateway)).length === GATEWAYS,
    );
  }
  return gateways;
}

function countCrashes(workers: readonly FakeWorker[]): number {
  return workers.filter((worker) => worker.hasCrashed).length;
}

test("a request that crashes every worker is kept from the rest, whichever host it comes to", async (t) => {
  await withGateways(async (fleet) => {
    const workers = await startWorkers(fleet);
    fleet.publishConfiguration(1, [KEY], { max_attempts: 1 });
    const gateways = await startGateways(fleet);
    for (let index = 0; index < TRIES; index++) {
      const gateway = gateways[index % GATEWAYS]!;
      await call(gateway, KEY, { body: CRASHING });
      await delay(PAUSE_MS);
    }
    const crashes = countCrashes(workers);
    t.true(crashes <= MOST_CRASHES, `${crashes} workers crashed`);
    for (const gateway of gateways) {
      const refused = await call(gateway, KEY, { body: CRASHING });
      t.is(refused.status, 503);
      t.truthy(refused.headers["retry-after"]);
      t.is((await call(gateway, KEY)).status, 200);
    }
    t.is(countCrashes(workers), crashes);
  });
});
