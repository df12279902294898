/** Guards against sending upstreams that fail if they decline too many requests more than they have room for. */
import test from "ava";
import type { FakeWorker } from "../../fakes/fake_worker.ts";
import { respondSuccessfully } from "../../fakes/fake_worker.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { call, locate } from "./call.ts";
import { waitForStatus } from "./wait_for_gateway.ts";
import { SLOTS, type TestGateway, withGateways } from "./with_gateways.ts";

const KEY = "key-1";
/** Requests per second that the worker states to bear declining. */
const DECLINE_LIMIT = 2;
/** Time that the worker takes for a request, in milliseconds. */
const WORK_MS = 200;
const CALLS = 40;

/** Makes a worker state its limit and take its time; returns how many requests it has run at once at most. */
function limitWorker(worker: FakeWorker): () => number {
  let running = 0;
  let mostRunning = 0;
  worker.behaviour = (request, response, self) => {
    running += 1;
    mostRunning = Math.max(mostRunning, running);
    response.setHeader("Server-Brittle", String(DECLINE_LIMIT));
    setTimeout(() => {
      running -= 1;
      respondSuccessfully(request, response, self);
    }, WORK_MS);
  };
  return () => mostRunning;
}

/** Waits until a gateway knows the worker's limit from its response, and has or finds a slot. */
async function waitUntilLimited(gateway: TestGateway): Promise<void> {
  await waitForStatus(gateway, KEY, 200);
  await waitForStatus(gateway, KEY, 200);
}

test("a burst at a host does not exceed the worker's slots and half of the declines that it bears", async (t) => {
  await withGateways(async (fleet) => {
    const worker = await fleet.startWorker("s");
    const getMostRunning = limitWorker(worker);
    fleet.publishConfiguration(1, [KEY]);
    const gateway = await fleet.startGateway();
    await waitUntilLimited(gateway);
    const results = await Promise.all(
      Array.from({ length: CALLS }, () => call(gateway, KEY)),
    );
    const refused = results.filter(({ status }) => status === 503);
    const mostRunning = getMostRunning();
    t.true(mostRunning <= SLOTS + DECLINE_LIMIT / 2, `${mostRunning} at once`);
    t.true(results.some(({ status }) => status === 200));
    t.true(refused.every(({ headers }) => headers["retry-after"]));
    t.true(refused.length > 0);
  });
});

test("hosts that own no slot of a worker use those of others, and a burst at all does not exceed them", async (t) => {
  await withGateways(async (fleet) => {
    const worker = await fleet.startWorker("s", "h", 1);
    const getMostRunning = limitWorker(worker);
    fleet.publishConfiguration(1, [KEY]);
    const gateways = [];
    for (let count = 0; count < 5; count++) {
      gateways.push(await fleet.startGateway());
    }
    for (const gateway of gateways) {
      await waitUntil(
        "all hosts are known",
        async () => (await locate(gateway)).length === gateways.length,
      );
      await waitUntilLimited(gateway);
    }
    // The owner of the slot may have joined last, and owns none until it has discovered the fleet.
    for (const gateway of gateways) await waitUntilLimited(gateway);
    const results = await Promise.all(
      gateways.flatMap((gateway) =>
        Array.from({ length: CALLS / 5 }, () => call(gateway, KEY))
      ),
    );
    const mostRunning = getMostRunning();
    t.true(mostRunning <= 1 + DECLINE_LIMIT / 2, `${mostRunning} at once`);
    t.true(results.some(({ status }) => status === 200));
    t.true(results.every(({ status }) => status === 200 || status === 503));
  });
});
