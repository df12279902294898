import test from "ava";
import { afterSuspension } from "../clock/after_suspension.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { call } from "./call.ts";
import { withGateways } from "./with_gateways.ts";

const KEY = "key-1";
/** Longer than the time after which revoked keys are no longer accepted in these tests. */
const SUSPENSION_MS = 10_000;

test.serial("a resumed host accepts no key until its publication is up to date again", async (t) => {
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
    await afterSuspension(SUSPENSION_MS, async () => {
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
