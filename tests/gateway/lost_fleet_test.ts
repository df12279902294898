import test, { type ExecutionContext } from "ava";
import { waitUntil } from "../system/with_fleet.ts";
import { call, type CallResult } from "./call.ts";
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
/** Streams may have begun so long ago that no host observes for long enough itself within a test. */
const RESUMABLE = {
  route_kind: "streaming",
  resumable: true,
  timeout_ms: 60_000,
};
const HOSTS = 3;
const STREAMS = 6;
/** Time for which workers have served where the store knows nothing older, in milliseconds. */
const SERVING_MS = 120_000;

/** Starts hosts that serve for the first time. */
async function startFleet(fleet: GatewayFleet): Promise<TestGateway[]> {
  fleet.publishConfiguration(3, [KEY], RESUMABLE);
  const gateways: TestGateway[] = [];
  for (let index = 0; index < HOSTS; index++) {
    gateways.push(await fleet.startGateway());
  }
  for (const gateway of gateways) await waitUntilServing(gateway);
  return gateways;
}

/** Begins streams at the workers that serve now, which break when all hosts end at once. */
async function beginAndLoseAll(
  fleet: GatewayFleet,
  gateways: readonly TestGateway[],
): Promise<ReceivedStream[]> {
  for (const worker of fleet.workers) {
    worker.behaviour = streamEvents((id) =>
      id.startsWith("begun") ? "held" : "none"
    );
  }
  const streams = await Promise.all(
    Array.from(
      { length: STREAMS },
      (_, index) =>
        readInterruptedStream(gateways[index % gateways.length]!, {
          "x-beechkeel-attempt-id": `begun-${index}`,
          "x-beechkeel-deadline-ms": "8000",
          "x-api-key": KEY,
        }),
    ),
  );
  await Promise.all(gateways.map(({ gateway }) => gateway.close()));
  return streams;
}

/** Starts all hosts again, at their addresses. */
async function restart(
  fleet: GatewayFleet,
  gateways: readonly TestGateway[],
): Promise<TestGateway[]> {
  const restarted = await Promise.all(
    gateways.map(({ settings }) =>
      fleet.startGateway({ ...settings, isFirstStart: false })
    ),
  );
  for (const gateway of restarted) await waitUntilServing(gateway);
  return restarted;
}

function resumeAll(
  streams: readonly ReceivedStream[],
  gateways: readonly TestGateway[],
): Promise<CallResult[]> {
  return Promise.all(
    streams.map(({ requestId, lastEventId }, index) =>
      call(gateways[index % gateways.length]!, KEY, {
        headers: { "last-event-id": lastEventId, "resumes": requestId },
      })
    ),
  );
}

/** Asserts that all streams continue at their version. Beside other load, a host may refuse some until it has read the
 * history of the store; these are sent again. */
async function assertContinued(
  t: ExecutionContext,
  streams: readonly ReceivedStream[],
  gateways: readonly TestGateway[],
): Promise<void> {
  let refused = streams;
  await waitUntil("all streams continue", async () => {
    const responses = await resumeAll(refused, gateways);
    const continued = responses.filter(({ status }) => status === 200);
    for (const response of continued) {
      t.true(isWholeStream(response));
      t.deepEqual(getVersions(response.body), ["v1"]);
    }
    refused = refused.filter((_, index) => responses[index]!.status !== 200);
    return refused.length === 0;
  });
}

function assertRefused(
  t: ExecutionContext,
  fleet: GatewayFleet,
  responses: readonly CallResult[],
): void {
  for (const { status, headers } of responses) {
    t.is(status, 503);
    t.is(headers["x-beechkeel-error"], "stream_unresumable");
  }
  const resumed = fleet.workers.flatMap(({ arrivals }) => arrivals).length;
  t.is(resumed, STREAMS);
}

test("streams of the only version continue after all hosts were lost at once", async (t) => {
  await withGateways(async (fleet) => {
    await fleet.startWorkers("s", 3, "v1");
    const gateways = await startFleet(fleet);
    const streams = await beginAndLoseAll(fleet, gateways);
    const restarted = await restart(fleet, gateways);
    await assertContinued(t, streams, restarted);
  });
});

test("streams of the only version continue after all hosts were lost, although the store has forgotten what is older", async (t) => {
  await withGateways(async (fleet) => {
    const workers = await fleet.startWorkers("s", 3, "v1");
    for (const worker of workers) {
      fleet.store.remove(`servers/${worker.id}`);
      worker.startedAt -= SERVING_MS;
      fleet.publishWorker(worker, "s", "ready");
    }
    const gateways = await startFleet(fleet);
    const streams = await beginAndLoseAll(fleet, gateways);
    fleet.store.compact();
    const restarted = await restart(fleet, gateways);
    await assertContinued(t, streams, restarted);
  });
});

test("streams are refused at once after all hosts were lost while two versions serve", async (t) => {
  await withGateways(async (fleet) => {
    await fleet.startWorkers("s", 2, "v1");
    await fleet.startWorkers("s", 2, "v2");
    const gateways = await startFleet(fleet);
    const streams = await beginAndLoseAll(fleet, gateways);
    const restarted = await restart(fleet, gateways);
    assertRefused(t, fleet, await resumeAll(streams, restarted));
  });
});

/** What happens to the old version's entries while all hosts are down; its streams must never continue at the new one. */
const DEPARTURES: Record<string, (fleet: GatewayFleet, ids: string[]) => void> =
  {
    "announces that it leaves"(fleet, ids) {
      for (const worker of fleet.workers) {
        if (!ids.includes(worker.id)) continue;
        fleet.publishWorker(worker, "s", "draining");
        fleet.store.remove(`servers/${worker.id}`);
      }
    },
    "leaves without a word"(fleet, ids) {
      for (const id of ids) fleet.store.remove(`servers/${id}`);
    },
    "leaves, of which the store knows no entry"(fleet, ids) {
      fleet.store.compact();
      for (const id of ids) fleet.store.remove(`servers/${id}`);
    },
    "leaves, which the store has forgotten"(fleet, ids) {
      for (const id of ids) fleet.store.remove(`servers/${id}`);
      fleet.store.compact();
    },
    "starts again as the new one"(fleet, ids) {
      for (const worker of fleet.workers) {
        if (!ids.includes(worker.id)) continue;
        worker.version = "v2";
        worker.startedAt = Date.now();
        fleet.publishWorker(worker, "s", "ready");
      }
    },
    "starts again as the new one, and the store has forgotten the old one"(
      fleet,
      ids,
    ) {
      DEPARTURES["starts again as the new one"]!(fleet, ids);
      fleet.store.compact();
    },
  };

for (const [name, leave] of Object.entries(DEPARTURES)) {
  test(`streams of an old version that ${name} are refused after all hosts were lost`, async (t) => {
    await withGateways(async (fleet) => {
      const old = await fleet.startWorkers("s", 3, "v1");
      const gateways = await startFleet(fleet);
      const streams = await beginAndLoseAll(fleet, gateways);
      leave(fleet, old.map(({ id }) => id));
      await fleet.startWorkers("s", 3, "v2");
      const restarted = await restart(fleet, gateways);
      assertRefused(t, fleet, await resumeAll(streams, restarted));
    });
  });
}
