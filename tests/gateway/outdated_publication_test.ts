import test from "ava";
import { afterSuspension } from "../clock/after_suspension.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { call } from "./call.ts";
import { waitForStatus } from "./wait_for_gateway.ts";
import { type GatewayFleet, withGateways } from "./with_gateways.ts";

const KEY = "key-1";
/** Longer than the time within which changes must be in force in these tests, and shorter than that for keys. */
const PAUSE_MS = 2_500;
/** With the time of a few reads longer than the time within which changes must be in force, and shorter than that for
 * keys. */
const SHORT_PAUSE_MS = 1_200;

/** Stops the store's responses, and waits until no gateway can get another one. */
async function silenceStore({ store }: GatewayFleet): Promise<void> {
  store.behaviour = "silent";
  const { calls } = store;
  await waitUntil("a watch gets no response", () => store.calls > calls);
}

// Guards against requests to a leaving upstream after drain_ms by a host that was late.
test.serial("a request does not reach an upstream that left while the host was paused", async (t) => {
  await withGateways(async (fleet) => {
    const leaving = await fleet.startWorker("s");
    fleet.publishConfiguration(1, [KEY]);
    const gateway = await fleet.startGateway();
    await waitForStatus(gateway, KEY, 200);
    await silenceStore(fleet);
    const staying = await fleet.startWorker("s");
    fleet.publishWorker(leaving, "s", "draining");
    const before = leaving.arrivals.length;
    await afterSuspension(PAUSE_MS, async () => {
      const refused = await call(gateway, KEY);
      t.is(refused.status, 503);
      t.truthy(refused.headers["retry-after"]);
      fleet.store.behaviour = "well";
      await waitForStatus(gateway, KEY, 200);
      t.is(leaving.arrivals.length, before);
      t.true(staying.arrivals.length > 0);
    });
  });
});

// Guards against requests that are handled by a configuration that is not in force any more.
test.serial("a request is not routed by a configuration that was replaced while the host was paused", async (t) => {
  await withGateways(async (fleet) => {
    const former = await fleet.startWorker("s");
    const current = await fleet.startWorker("s2");
    fleet.publishConfiguration(1, [KEY]);
    const gateway = await fleet.startGateway();
    await waitForStatus(gateway, KEY, 200);
    await silenceStore(fleet);
    fleet.publishConfiguration(2, [KEY], { service: "s2" });
    const before = former.arrivals.length;
    await afterSuspension(PAUSE_MS, async () => {
      t.is((await call(gateway, KEY)).status, 503);
      fleet.store.behaviour = "well";
      await waitForStatus(gateway, KEY, 200);
      t.is(former.arrivals.length, before);
      t.true(current.arrivals.length > 0);
    });
  });
});

test.serial("a path that is not known is not refused for good by an outdated configuration", async (t) => {
  await withGateways(async (fleet) => {
    await fleet.startWorker("s");
    fleet.publishConfiguration(1, [KEY]);
    const gateway = await fleet.startGateway();
    await waitForStatus(gateway, KEY, 200);
    await silenceStore(fleet);
    fleet.publishConfiguration(2, [KEY], { path_prefix: "/" });
    await afterSuspension(PAUSE_MS, async () => {
      const path = "/new";
      t.is((await call(gateway, KEY, { path })).status, 503);
      fleet.store.behaviour = "well";
      await waitUntil(
        "the added path is served",
        async () => (await call(gateway, KEY, { path })).status === 200,
      );
    });
  });
});

test.serial("requests are served by an old publication while the platform does not respond", async (t) => {
  await withGateways(async (fleet) => {
    await fleet.startWorker("s");
    fleet.publishConfiguration(1, [KEY]);
    const gateway = await fleet.startGateway();
    await waitForStatus(gateway, KEY, 200);
    fleet.store.behaviour = "unavailable";
    const { calls } = fleet.store;
    await waitUntil(
      "reads have failed",
      () => fleet.store.calls > calls + 2,
    );
    await afterSuspension(SHORT_PAUSE_MS, async () => {
      await waitForStatus(gateway, KEY, 200);
      t.is((await call(gateway, KEY)).status, 200);
    });
  });
});
