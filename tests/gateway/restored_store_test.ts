/** Guards against ignoring changes after a restore of the store. The store was unavailable for a moment, came back from
 * a copy some seconds old, and assigned the same revisions again. Gateways treated changes with a lower revision than
 * the known one as outdated, and kept sending requests to a worker that started draining after the restore. */
import test, { type ExecutionContext } from "ava";
import type { FakeWorker } from "../../fakes/fake_worker.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { call } from "./call.ts";
import { waitForStatus } from "./wait_for_gateway.ts";
import {
  type GatewayFleet,
  type TestGateway,
  withGateways,
} from "./with_gateways.ts";

const KEY = "key-1";
/** Number of calls. They all miss one of two workers by chance with a probability of 2^-40. */
const CALLS = 40;
/** Number of writes that raise the store's revision well above that of any copy. */
const FILLER_WRITES = 10;

interface Fixture {
  fleet: GatewayFleet;
  gateway: TestGateway;
  worker: FakeWorker;
  other: FakeWorker;
}

async function withTwoWorkers(
  body: (fixture: Fixture) => Promise<void>,
): Promise<void> {
  await withGateways(async (fleet) => {
    const [worker, other] = [
      await fleet.startWorker("s"),
      await fleet.startWorker("s"),
    ];
    fleet.publishConfiguration(1, [KEY]);
    const gateway = await fleet.startGateway();
    await waitForStatus(gateway, KEY, 200);
    await body({ fleet, gateway, worker, other });
  });
}

/** Raises the revision with writes that gateways ignore. */
function raiseRevision({ store }: GatewayFleet): void {
  for (let count = 0; count < FILLER_WRITES; count++) store.put("other", count);
}

/** Publishes the worker again, with a revision well above that of any copy. */
function republishWorker({ fleet, worker }: Fixture): void {
  raiseRevision(fleet);
  fleet.publishWorker(worker, "s", "ready");
}

/** Publishes a configuration and waits until it is current; the gateway then knows everything written before it. */
async function publishAndWait(
  { fleet, gateway }: Fixture,
  version: number,
  key: string,
): Promise<void> {
  fleet.publishConfiguration(version, [KEY, key]);
  await waitForStatus(gateway, key, 200);
}

async function countCalls(
  t: ExecutionContext,
  gateway: TestGateway,
  worker: FakeWorker,
): Promise<number> {
  const before = worker.arrivals.length;
  for (let index = 0; index < CALLS; index++) {
    t.is((await call(gateway, KEY)).status, 200);
  }
  return worker.arrivals.length - before;
}

test("a worker that drains after the restore gets no more requests", async (t) => {
  await withTwoWorkers(async (fixture) => {
    const { fleet, gateway, worker } = fixture;
    const copy = fleet.store.takeSnapshot();
    republishWorker(fixture);
    await publishAndWait(fixture, 2, "key-2");
    fleet.store.restore(copy);
    fleet.publishWorker(worker, "s", "draining");
    await publishAndWait(fixture, 3, "key-3");
    t.is(await countCalls(t, gateway, worker), 0);
  });
});

test("a worker that drains after the restore gets no more requests once new revisions exceed the old ones", async (t) => {
  await withTwoWorkers(async (fixture) => {
    const { fleet, gateway, worker } = fixture;
    const copy = fleet.store.takeSnapshot();
    await publishAndWait(fixture, 2, "key-2");
    fleet.store.restore(copy);
    fleet.publishWorker(worker, "s", "draining");
    raiseRevision(fleet);
    await publishAndWait(fixture, 3, "key-3");
    t.is(await countCalls(t, gateway, worker), 0);
  });
});

test("a worker that drained in the lost seconds stays draining although the copy says ready", async (t) => {
  await withTwoWorkers(async (fixture) => {
    const { fleet, gateway, worker } = fixture;
    const copy = fleet.store.takeSnapshot();
    fleet.publishWorker(worker, "s", "draining");
    raiseRevision(fleet);
    await publishAndWait(fixture, 2, "key-2");
    fleet.store.restore(copy);
    await publishAndWait(fixture, 3, "key-3");
    t.is(await countCalls(t, gateway, worker), 0);
  });
});

test("a worker that left in the lost seconds is not used because of its entry in the copy", async (t) => {
  await withTwoWorkers(async (fixture) => {
    const { fleet, gateway, worker } = fixture;
    const copy = fleet.store.takeSnapshot();
    fleet.store.remove(`servers/${worker.id}`);
    await publishAndWait(fixture, 2, "key-2");
    fleet.store.restore(copy);
    await publishAndWait(fixture, 3, "key-3");
    t.is(await countCalls(t, gateway, worker), 0);
  });
});

test("a worker that restarted in the lost seconds is used although the copy has its previous start", async (t) => {
  await withTwoWorkers(async (fixture) => {
    const { fleet, gateway, worker } = fixture;
    const copy = fleet.store.takeSnapshot();
    worker.startedAt += 1_000;
    fleet.publishWorker(worker, "s", "ready");
    await publishAndWait(fixture, 2, "key-2");
    fleet.store.restore(copy);
    await publishAndWait(fixture, 3, "key-3");
    t.true(await countCalls(t, gateway, worker) > 0);
  });
});

test("a worker born in the lost seconds is used until it is written again", async (t) => {
  await withTwoWorkers(async (fixture) => {
    const { fleet, gateway, worker, other } = fixture;
    const copy = fleet.store.takeSnapshot();
    const added = await fleet.startWorker("s");
    await publishAndWait(fixture, 2, "key-2");
    fleet.publishWorker(worker, "s", "draining");
    fleet.publishWorker(other, "s", "draining");
    await publishAndWait(fixture, 3, "key-3");
    fleet.store.restore(copy);
    t.is(await countCalls(t, gateway, added), CALLS);
    fleet.publishWorker(added, "s", "ready");
    await publishAndWait(fixture, 4, "key-4");
    t.is(await countCalls(t, gateway, added), CALLS);
  });
});

test("a worker of the copy that is removed after the restore is no longer used", async (t) => {
  await withTwoWorkers(async (fixture) => {
    const { fleet, gateway, worker } = fixture;
    const copy = fleet.store.takeSnapshot();
    republishWorker(fixture);
    await publishAndWait(fixture, 2, "key-2");
    fleet.store.restore(copy);
    fleet.store.remove(`servers/${worker.id}`);
    await publishAndWait(fixture, 3, "key-3");
    await waitUntil(
      "only the other worker is used",
      async () => await countCalls(t, gateway, worker) === 0,
    );
  });
});

test("a key that was revoked in the lost seconds stays revoked", async (t) => {
  await withTwoWorkers(async (fixture) => {
    const { fleet, gateway } = fixture;
    await publishAndWait(fixture, 2, "key-2");
    const copy = fleet.store.takeSnapshot();
    fleet.publishConfiguration(3, [KEY, "key-3"]);
    await waitForStatus(gateway, "key-3", 200);
    t.is((await call(gateway, "key-2")).status, 401);
    fleet.store.restore(copy);
    fleet.publishWorker(fixture.worker, "s", "draining");
    await waitUntil(
      "the restore is known",
      async () => await countCalls(t, gateway, fixture.worker) === 0,
    );
    t.is((await call(gateway, "key-2")).status, 401);
    t.is((await call(gateway, "key-3")).status, 200);
  });
});

test("a host that starts after the restore learns from others that a worker is draining", async (t) => {
  await withTwoWorkers(async (fixture) => {
    const { fleet, worker } = fixture;
    const copy = fleet.store.takeSnapshot();
    fleet.publishWorker(worker, "s", "draining");
    raiseRevision(fleet);
    await publishAndWait(fixture, 2, "key-2");
    fleet.store.restore(copy);
    await publishAndWait(fixture, 3, "key-3");
    const fresh = await fleet.startGateway();
    await waitForStatus(fresh, KEY, 200);
    await waitUntil(
      "only the other worker is used",
      async () => await countCalls(t, fresh, worker) === 0,
    );
  });
});

test("two restores in a row are distinguished", async (t) => {
  await withTwoWorkers(async (fixture) => {
    const { fleet, gateway, worker } = fixture;
    const copy = fleet.store.takeSnapshot();
    republishWorker(fixture);
    await publishAndWait(fixture, 2, "key-2");
    fleet.store.restore(copy);
    fleet.store.restore(copy);
    fleet.publishWorker(worker, "s", "draining");
    await publishAndWait(fixture, 3, "key-3");
    t.is(await countCalls(t, gateway, worker), 0);
  });
});
