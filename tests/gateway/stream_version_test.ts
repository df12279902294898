import test, { type ExecutionContext } from "ava";
import { setTimeout as delay } from "node:timers/promises";
import type { FakeWorker } from "../../fakes/fake_worker.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { call } from "./call.ts";
import {
  getVersions,
  isWholeStream,
  readInterruptedStream,
  type ReceivedStream,
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
/** Number of streams of a test. If their versions were chosen at random, all would be right with a probability below
 * 2^-10. */
const STREAMS = 12;
/** Time in which hosts discover each other, in milliseconds. */
const DISCOVERY_MS = 1_500;
/** Time in which a host learns of a published change, in milliseconds. */
const LEARNING_MS = 150;

/** Starts three upstreams of each of two versions, and some gateways. */
async function startMixedFleet(
  fleet: GatewayFleet,
  gatewayCount: number,
): Promise<TestGateway[]> {
  await fleet.startWorkers("s", 3, "v1");
  await fleet.startWorkers("s", 3, "v2");
  fleet.publishConfiguration(3, [KEY], RESUMABLE);
  const gateways: TestGateway[] = [];
  for (let index = 0; index < gatewayCount; index++) {
    gateways.push(await fleet.startGateway());
  }
  for (const gateway of gateways) await waitUntilServing(gateway);
  await delay(DISCOVERY_MS);
  return gateways;
}

/** Begins streams that are interrupted after their first events but keep their connections. */
function beginStreams(
  fleet: GatewayFleet,
  gateway: TestGateway,
): Promise<ReceivedStream[]> {
  for (const worker of fleet.workers) {
    worker.behaviour = streamEvents((id) =>
      id.startsWith("begun") ? "held" : "none"
    );
  }
  return Promise.all(
    Array.from(
      { length: STREAMS },
      (_, index) =>
        readInterruptedStream(gateway, {
          "x-beechkeel-attempt-id": `begun-${index}`,
          "x-beechkeel-deadline-ms": "8000",
          "x-api-key": KEY,
        }),
    ),
  );
}

function resume(
  gateway: TestGateway,
  { requestId, lastEventId }: ReceivedStream,
) {
  return call(gateway, KEY, {
    headers: { "last-event-id": lastEventId, "resumes": requestId },
  });
}

test("a stream that breaks within an answer continues at the software version that began it", async (t) => {
  await withGateways(async (fleet) => {
    const [gateway] = await startMixedFleet(fleet, 1);
    const broken = new Set<string>();
    for (const worker of fleet.workers) {
      worker.behaviour = streamEvents((id) => {
        if (broken.has(id)) return "none";
        broken.add(id);
        return "reset";
      });
    }
    for (let index = 0; index < STREAMS; index++) {
      const response = await call(gateway!, KEY);
      t.true(isWholeStream(response));
      t.is(getVersions(response.body).length, 1);
    }
    t.is(broken.size, STREAMS);
  });
});

test("a stream that its caller resumes at another host, after the first was killed, continues at the software version that began it", async (t) => {
  await withGateways(async (fleet) => {
    const [first, ...others] = await startMixedFleet(fleet, 4);
    const streams = await beginStreams(fleet, first!);
    await first!.gateway.close();
    for (const [index, stream] of streams.entries()) {
      const response = await resume(others[index % others.length]!, stream);
      t.true(isWholeStream(response));
      t.deepEqual(getVersions(response.body), [stream.version]);
    }
  });
});

test("a stream that its caller resumes twice, at a third host, continues at the software version that began it", async (t) => {
  await withGateways(async (fleet) => {
    const [first, second, third] = await startMixedFleet(fleet, 4);
    const streams = await beginStreams(fleet, first!);
    for (const worker of fleet.workers) {
      worker.behaviour = streamEvents(() => "held");
    }
    await Promise.all(streams.map(async ({ requestId, lastEventId }, index) => {
      const resumed = { "last-event-id": lastEventId, "resumes": requestId };
      const headers = {
        "x-beechkeel-attempt-id": `resumed-${index}`,
        "x-beechkeel-deadline-ms": "8000",
        "x-api-key": KEY,
        ...resumed,
      };
      const options = { headers, signal: AbortSignal.timeout(300) };
      await t.throwsAsync(call(second!, KEY, options), { any: true });
    }));
    await first!.gateway.close();
    await second!.gateway.close();
    for (const worker of fleet.workers) {
      worker.behaviour = streamEvents(() => "none");
    }
    for (const stream of streams) {
      const response = await resume(third!, stream);
      t.true(isWholeStream(response));
      t.deepEqual(getVersions(response.body), [stream.version]);
    }
  });
});

test("a stream that an upstream began after it had started again, with another version than known, is not continued at the known one", async (t) => {
  await withGateways(async (fleet) => {
    const restarted = await fleet.startWorker("s");
    fleet.publishConfiguration(3, [KEY], RESUMABLE);
    const gateway = await fleet.startGateway();
    await waitUntilServing(gateway);
    restarted.version = "v2";
    restarted.startedAt = Date.now();
    const streams = await beginStreams(fleet, gateway);
    const other = await fleet.startWorker("s");
    other.behaviour = streamEvents(() => "none");
    await waitUntilChosen(t, gateway, other);
    const before = other.arrivals.length;
    fleet.publishWorker(restarted, "s", "ready");
    await delay(DISCOVERY_MS);
    t.is(other.arrivals.length, before);
    for (const stream of streams) {
      t.is((await resume(gateway, stream)).status, 503);
    }
    t.is(other.arrivals.length, before);
  });
});

test("a resumed stream whose upstream starts again before it sends an event continues at another of the known version", async (t) => {
  await withGateways(async (fleet) => {
    const restarted = await fleet.startWorker("s");
    fleet.publishConfiguration(3, [KEY], RESUMABLE);
    const gateway = await fleet.startGateway();
    await waitUntilServing(gateway);
    const [stream] = await beginStreams(fleet, gateway);
    restarted.behaviour = streamEvents(() => "held");
    const arrivals = countArrivals(fleet);
    const response = resume(gateway, stream!);
    await waitUntil(
      "the resume arrives",
      () => countArrivals(fleet) > arrivals,
    );
    const other = await fleet.startWorker("s");
    other.behaviour = streamEvents(() => "none");
    await waitUntilChosen(t, gateway, other);
    restarted.version = "v2";
    restarted.startedAt = Date.now();
    fleet.publishWorker(restarted, "s", "ready");
    t.true(isWholeStream(await response));
    t.deepEqual(getVersions((await response).body), ["v1"]);
  });
});

test("a stream whose software version has no upstream left is refused at once as not run", async (t) => {
  await withGateways(async (fleet) => {
    const [first, second] = await startMixedFleet(fleet, 2);
    const streams = await beginStreams(fleet, first!);
    const ended = streams.find(({ version }) => version === "v1")!;
    // A host continues streams that are silent for too long, which would add arrivals.
    await first!.gateway.close();
    for (const worker of fleet.workers) {
      if (worker.version === "v1") fleet.store.remove(`servers/${worker.id}`);
    }
    await delay(DISCOVERY_MS);
    const arrivals = countArrivals(fleet);
    const response = await resume(second!, ended);
    t.is(response.status, 503);
    t.is(response.headers["x-beechkeel-error"], "stream_unresumable");
    t.is(countArrivals(fleet), arrivals);
  });
});

test("a stream continues at a leaving upstream of its software version, if no other is left, while that still takes requests", async (t) => {
  await withGateways(async (fleet) => {
    const [first, second] = await startMixedFleet(fleet, 2);
    const streams = await beginStreams(fleet, first!);
    await first!.gateway.close();
    const [early, late] = streams.filter(({ version }) => version === "v1");
    for (const worker of fleet.workers) {
      if (worker.version === "v1") {
        fleet.publishWorker(worker, "s", "draining");
      }
    }
    await delay(LEARNING_MS);
    const response = await resume(second!, early!);
    t.true(isWholeStream(response));
    t.deepEqual(getVersions(response.body), ["v1"]);
    await delay(second!.settings.leaveWithinMs);
    t.is((await resume(second!, late!)).status, 503);
  });
});

test("a stream that no host knows is refused at once while two software versions serve", async (t) => {
  await withGateways(async (fleet) => {
    const [gateway] = await startMixedFleet(fleet, 2);
    const response = await resume(gateway!, {
      requestId: "unknown",
      lastEventId: "2",
      version: "v1",
    });
    t.is(response.status, 503);
    t.is(response.headers["x-beechkeel-error"], "stream_unresumable");
    t.is(countArrivals(fleet), 0);
  });
});

// Guards against streams of two versions at a host that is out of step while a version joins.
test("a stream that no host knows is not continued at the only known version while another may have joined", async (t) => {
  await withGateways(async (fleet) => {
    await fleet.startWorkers("s", 3, "v1");
    fleet.publishConfiguration(3, [KEY], RESUMABLE);
    const gateway = await fleet.startGateway();
    await waitUntilServing(gateway);
    const buildUnknown = (requestId: string) => (
      { requestId, lastEventId: "2", version: "v1" }
    );
    for (const worker of fleet.workers) {
      worker.behaviour = streamEvents(() => "none");
    }
    t.is((await resume(gateway, buildUnknown("before"))).status, 200);
    const arrivals = countArrivals(fleet);
    fleet.store.behaviour = "silent";
    const { calls } = fleet.store;
    await waitUntil("a watch is not answered", () => fleet.store.calls > calls);
    await fleet.startWorker("s", "h", 4, "v2");
    t.is((await resume(gateway, buildUnknown("after"))).status, 503);
    t.is(countArrivals(fleet), arrivals);
  });
});

/** Sends requests until one reaches an upstream. */
async function waitUntilChosen(
  t: ExecutionContext,
  gateway: TestGateway,
  worker: FakeWorker,
): Promise<void> {
  for (let count = 0; worker.arrivals.length === 0; count++) {
    t.true(count < 100);
    await call(gateway, KEY);
  }
}

function countArrivals({ workers }: GatewayFleet): number {
  return workers.reduce((sum, { arrivals }) => sum + arrivals.length, 0);
}
