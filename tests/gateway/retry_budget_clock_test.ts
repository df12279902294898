import test from "ava";
import { respondWithError } from "../../fakes/fake_worker.ts";
import { call } from "./call.ts";
import { waitForStatus } from "./wait_for_gateway.ts";
import { withGateways } from "./with_gateways.ts";

const KEY = "key-1";
const RETRY_EXTRA = 10;
const RETRY_RATIO = 0.2;
/** Longer than this test takes. */
const RETRY_WINDOW_MS = 600_000;
const STEPS = 3;
const CALLS_PER_STEP = 20;

// Guards against forward steps of the time of day that end the window of the retry budget early.
test.serial("a gateway stays within its retry budget when the time of day steps forward in series", async (t) => {
  const readWallClock = Date.now;
  await withGateways(async (fleet) => {
    const workers = await fleet.startWorkers("s", 3);
    fleet.publishConfiguration(1, [KEY]);
    const gateway = await fleet.startGateway({
      retryExtra: RETRY_EXTRA,
      retryRatio: RETRY_RATIO,
      retryWindowMs: RETRY_WINDOW_MS,
      keyRevocationLimitMs: undefined,
    });
    await waitForStatus(gateway, KEY, 200);
    for (const worker of workers) {
      worker.arrivals.length = 0;
      worker.behaviour = respondWithError;
    }
    let calls = 0;
    try {
      for (let step = 0; step < STEPS; step++) {
        Date.now = () => readWallClock() + 2 * step * RETRY_WINDOW_MS;
        for (let index = 0; index < CALLS_PER_STEP; index++) {
          await call(gateway, KEY);
          calls += 1;
        }
      }
    } finally {
      Date.now = readWallClock;
    }
    const arrivals = workers.reduce(
      (sum, worker) => sum + worker.arrivals.length,
      0,
    );
    const allowed = RETRY_RATIO * (calls + 1) + RETRY_EXTRA;
    t.true(arrivals > calls, `${arrivals} arrivals`);
    t.true(arrivals - calls <= allowed, `${arrivals - calls} of ${allowed}`);
  });
});
