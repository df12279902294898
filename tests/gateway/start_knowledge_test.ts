import test from "ava";
import { declineRequests } from "../../fakes/fake_worker.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { call, locate } from "./call.ts";
import {
  isWholeStream,
  readInterruptedStream,
  streamEvents,
} from "./versioned_streams.ts";
import { waitUntilServing } from "./wait_for_gateway.ts";
import {
  type GatewayFleet,
  type TestGateway,
  withGateways,
} from "./with_gateways.ts";

const KEY = "key-1";
const RESUMABLE = { route_kind: "streaming", resumable: true };

/** Starts a gateway of a fleet that has served before, and waits until others know it. */
async function startLater(
  fleet: GatewayFleet,
  other: TestGateway,
): Promise<TestGateway> {
  const seedAddresses = [other.settings.gossipAddress];
  const gateway = await fleet.startGateway({
    isFirstStart: false,
    seedAddresses,
  });
  await waitUntilServing(gateway);
  await waitUntil(
    "the others list it",
    async () => (await locate(other)).length > 1,
  );
  return gateway;
}

test("a host that starts does not send requests to an upstream that has asked other hosts for a backoff", async (t) => {
  await withGateways(async (fleet) => {
    const worker = await fleet.startWorker("s");
    fleet.publishConfiguration(3, [KEY]);
    const first = await fleet.startGateway();
    await waitUntilServing(first);
    worker.behaviour = declineRequests({ "Retry-After": "20" });
    t.is((await call(first, KEY)).status, 503);
    const started = await startLater(fleet, first);
    const arrivals = worker.arrivals.length;
    const response = await call(started, KEY);
    t.is(response.status, 503);
    t.true(Number(response.headers["retry-after"]) > 5);
    t.is(worker.arrivals.length, arrivals);
  });
});

test("a host that starts knows from others which software versions have served, also after these have ended", async (t) => {
  await withGateways(async (fleet) => {
    const worker = await fleet.startWorker("s");
    fleet.publishConfiguration(3, [KEY], RESUMABLE);
    const first = await fleet.startGateway();
    await waitUntilServing(first);
    worker.behaviour = streamEvents((id) => id === "begun" ? "held" : "none");
    const { lastEventId } = await readInterruptedStream(first, {
      "x-beechkeel-attempt-id": "begun",
      "x-beechkeel-deadline-ms": "8000",
      "x-api-key": KEY,
    });
    const started = await startLater(fleet, first);
    await first.gateway.close();
    const response = await call(started, KEY, {
      headers: { "last-event-id": lastEventId },
    });
    t.true(isWholeStream(response));
  });
});
