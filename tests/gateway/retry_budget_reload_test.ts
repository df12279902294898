import test from "ava";
import { respondWithError } from "../../fakes/fake_worker.ts";
import { call } from "./call.ts";
import { waitForStatus } from "./wait_for_gateway.ts";
import { withGateways } from "./with_gateways.ts";

const KEY = "key-1";
const RETRY_EXTRA = 10;
const RETRY_RATIO = 0.2;
const RELOADS = 4;
const CALLS_PER_RELOAD = 20;

// Guards against reloads that forget the retries that were already sent.
test("a gateway whose settings are reloaded in series stays within its retry budget", async (t) => {
  await withGateways(async (fleet) => {
    const workers = await fleet.startWorkers("s", 3);
    fleet.publishConfiguration(1, [KEY]);
    const started = await fleet.startGateway({
      retryExtra: RETRY_EXTRA,
      retryRatio: RETRY_RATIO,
      retryWindowMs: 60_000,
    });
    await waitForStatus(started, KEY, 200);
    for (const worker of workers) {
      worker.arrivals.length = 0;
      worker.behaviour = respondWithError;
    }
    let calls = 0;
    for (let reload = 0; reload < RELOADS; reload++) {
      started.gateway.reload({ ...started.settings });
      for (let index = 0; index < CALLS_PER_RELOAD; index++) {
        await call(started, KEY);
        calls += 1;
      }
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
