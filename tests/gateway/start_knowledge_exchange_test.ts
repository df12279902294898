import test from "ava";
import { declineRequests } from "../../fakes/fake_worker.ts";
import { setTimeout as delay } from "node:timers/promises";
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

/** Time after which the publication of a host that can't read the store is not recent, in milliseconds. */
const OUTAGE_MS = 4_500;

/** Resumes a stream without a record during an outage of the store. Returns whether it continued. */
async function resumeInOutage(
  fleet: GatewayFleet,
  losesHost: boolean,
): Promise<boolean> {
  const worker = await fleet.startWorker("s");
  worker.behaviour = streamEvents(() => "none");
  fleet.publishConfiguration(3, [KEY], RESUMABLE);
  const gateways: TestGateway[] = [];
  for (let index = 0; index < 3; index++) {
    gateways.push(await fleet.startGateway({ keyRevocationLimitMs: 30_000 }));
  }
  await waitUntil(
    "all addresses are listed",
    async () => (await locate(gateways[0]!)).length === gateways.length,
  );
  await delay(KNOWN_FLEET_MS);
  fleet.store.behaviour = "unavailable";
  if (losesHost) await gateways[2]!.gateway.close();
  await delay(OUTAGE_MS);
  const response = await call(gateways[1]!, KEY, {
    headers: { "last-event-id": "2" },
  });
  return isWholeStream(response);
}

/** Time after which hosts take the known hosts for all, in milliseconds. */
const KNOWN_FLEET_MS = 1_500;

test("a stream without a record is refused where the publication is old and hosts are lost, since these may know other versions", async (t) => {
  await withGateways(async (fleet) => {
    t.false(await resumeInOutage(fleet, true));
  });
});

test("a stream without a record continues in an outage of the store if all hosts are in contact", async (t) => {
  await withGateways(async (fleet) => {
    t.true(await resumeInOutage(fleet, false));
  });
});
