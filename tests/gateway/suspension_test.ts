import test from "ava";
import { waitUntil } from "../system/with_fleet.ts";
import { call } from "./call.ts";
import { withGateways } from "./with_gateways.ts";

const KEY = "key-1";
/** Beyond the bound on old keys of these tests. */
const GAP_MS = 10_000;

/** Runs a test body after the time of day went on and the steady clock did not, as after a suspension. */
async function afterSuspension(body: () => Promise<void>): Promise<void> {
  const readTimeOfDay = Date.now;
  Date.now = () => readTimeOfDay() + GAP_MS;
  try {
    await body();
  } finally {
    Date.now = readTimeOfDay;
  }
}

test.serial("a host that was suspended honours no key until it has heard again", async (t) => {
  await withGateways(async (fleet) => {
    const worker = await fleet.startWorker("s");
    fleet.publishConfiguration(1, [KEY]);
    const gateway = await fleet.startGateway();
    await waitUntil(
      "the gateway serves",
      async () => (await call(gateway, KEY)).status === 200,
    );
    const before = worker.arrivals.length;
    fleet.store.behaviour = "silent";
    await afterSuspension(async () => {
      const refused = await call(gateway, KEY);
      t.is(refused.status, 503);
      t.truthy(refused.headers["retry-after"]);
      t.is(worker.arrivals.length, before);
      fleet.store.behaviour = "well";
      await waitUntil(
        "the gateway serves again",
        async () => (await call(gateway, KEY)).status === 200,
      );
    });
  });
});
