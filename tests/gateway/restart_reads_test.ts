import test from "ava";
import { call } from "./call.ts";
import { waitUntilServing } from "./wait_for_gateway.ts";
import { withGateways } from "./with_gateways.ts";

const KEY = "key-1";

test("a host that joins a running fleet serves without reading a snapshot from the platform", async (t) => {
  await withGateways(async (fleet) => {
    await fleet.startWorker("s");
    fleet.publishConfiguration(3, [KEY]);
    const first = await fleet.startGateway();
    await waitUntilServing(first);
    const { gossipAddress } = first.settings;
    const readsBefore = fleet.store.rangeReads;
    const second = await fleet.startGateway({ seedAddresses: [gossipAddress] });
    await waitUntilServing(second);
    t.is((await call(second, KEY)).status, 200);
    t.is(fleet.store.rangeReads, readsBefore);
  });
});

test("a host whose seeds do not respond reads the platform itself", async (t) => {
  await withGateways(async (fleet) => {
    await fleet.startWorker("s");
    fleet.publishConfiguration(3, [KEY]);
    const alone = await fleet.startGateway({ seedAddresses: ["127.0.0.1:9"] });
    await waitUntilServing(alone);
    t.is((await call(alone, KEY)).status, 200);
  });
});
