import test from "ava";
import { buildWorkerEntry } from "../../fakes/worker_entry.ts";
import { respondSuccessfully } from "../../fakes/fake_worker.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { call } from "./call.ts";
import { waitForStatus, waitUntilServing } from "./wait_for_gateway.ts";
import { withGateways } from "./with_gateways.ts";

const KEY = "key-1";
/** Number of calls. They all miss one of two workers by chance with a probability of 2^-40. */
const CALLS = 40;

test("requests on a worker that restarts under its id are retried elsewhere immediately", async (t) => {
  await withGateways(async (fleet) => {
    const [restarted, other] = [
      await fleet.startWorker("s"),
      await fleet.startWorker("s"),
    ];
    restarted.behaviour = () => undefined;
    const route = { timeout_ms: 60_000, slo_ms: 60_000 };
    fleet.publishConfiguration(1, [KEY], route);
    const gateway = await fleet.startGateway();
    await waitUntilServing(gateway);
    const responses = Array.from({ length: 4 }, () => call(gateway, KEY));
    await waitUntil(
      "the worker has a request",
      () => restarted.arrivals.length > 0,
    );
    restarted.behaviour = respondSuccessfully;
    restarted.startedAt += 1_000;
    fleet.publishWorker(restarted, "s", "ready");
    for (const response of responses) t.is((await response).status, 200);
    t.true(other.arrivals.length > 0);
  });
});

test("a corrupted entry removes its worker, and the others stay", async (t) => {
  await withGateways(async (fleet) => {
    const [corrupted, healthy] = [
      await fleet.startWorker("s"),
      await fleet.startWorker("s"),
    ];
    fleet.publishConfiguration(1, [KEY]);
    const gateway = await fleet.startGateway();
    await waitForStatus(gateway, KEY, 200);
    fleet.store.putText(`servers/${corrupted.id}`, "\u0000 no entry");
    await waitUntil("only the other worker is used", async () => {
      const before = corrupted.arrivals.length;
      for (let index = 0; index < CALLS; index++) {
        t.is((await call(gateway, KEY)).status, 200);
      }
      return corrupted.arrivals.length === before;
    });
    t.true(healthy.arrivals.length >= CALLS);
  });
});

// Guards against the loss of all workers by one entry of another writer.
test("workers that publish no start time are used beside an entry that has one", async (t) => {
  await withGateways(async (fleet) => {
    const workers = await fleet.startWorkers("s", 2);
    for (const worker of workers) {
      const { address, id } = worker;
      const entry = {
        service: "s",
        address,
        state: "ready",
        slots: 8,
      } as const;
      const { born: _, ...published } = buildWorkerEntry({
        ...entry,
        startedAt: 0,
      });
      worker.startedAt = 0;
      fleet.store.put(`servers/${id}`, published);
    }
    const odd = { address: "127.0.0.1:9", state: "ready", slots: 8 } as const;
    fleet.store.put(
      "servers/odd",
      buildWorkerEntry({ ...odd, service: "other", startedAt: 5 }),
    );
    fleet.publishConfiguration(1, [KEY]);
    const gateway = await fleet.startGateway();
    await waitForStatus(gateway, KEY, 200);
    t.true(workers.some(({ arrivals }) => arrivals.length > 0));
  });
});
