/** The store is away for a moment and comes back from a copy some seconds old; it gives its revisions out again. Gateways took
 * what had a lower revision than they knew for old: a worker that said after the return that it drains was sent requests on. */
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
/** Calls that all miss one of two workers by chance once in 2^40 times. */
const CALLS = 40;
/** Writes that take the store's revision well above that of any copy. */
const WRITES = 10;

interface Setting {
  fleet: GatewayFleet;
  gateway: TestGateway;
  worker: FakeWorker;
  other: FakeWorker;
}

async function withTwoWorkers(
  body: (setting: Setting) => Promise<void>,
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

/** Writes that no gateway cares for. */
function raiseRevision({ store }: GatewayFleet): void {
  for (let count = 0; count < WRITES; count++) store.put("other", count);
}

/** Writes the worker once more, with a revision well above that of any copy. */
function rewrite({ fleet, worker }: Setting): void {
  raiseRevision(fleet);
  fleet.publishWorker(worker, "s", "ready");
}

/** Publishes a version and waits until it is in force: all written before it is known then. */
async function settle(
  { fleet, gateway }: Setting,
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

test("a worker that drains after the return gets no more requests", async (t) => {
  await withTwoWorkers(async (setting) => {
    const { fleet, gateway, worker } = setting;
    const copy = fleet.store.copy();
    rewrite(setting);
    await settle(setting, 2, "key-2");
    fleet.store.restore(copy);
    fleet.publishWorker(worker, "s", "draining");
    await settle(setting, 3, "key-3");
    t.is(await countCalls(t, gateway, worker), 0);
  });
});

test("a worker that drains after the return is heard of where the new revisions have passed the old ones", async (t) => {
  await withTwoWorkers(async (setting) => {
    const { fleet, gateway, worker } = setting;
    const copy = fleet.store.copy();
    await settle(setting, 2, "key-2");
    fleet.store.restore(copy);
    fleet.publishWorker(worker, "s", "draining");
    raiseRevision(fleet);
    await settle(setting, 3, "key-3");
    t.is(await countCalls(t, gateway, worker), 0);
  });
});

test("a worker that drained in the lost seconds goes on draining although the copy says ready", async (t) => {
  await withTwoWorkers(async (setting) => {
    const { fleet, gateway, worker } = setting;
    const copy = fleet.store.copy();
    fleet.publishWorker(worker, "s", "draining");
    raiseRevision(fleet);
    await settle(setting, 2, "key-2");
    fleet.store.restore(copy);
    await settle(setting, 3, "key-3");
    t.is(await countCalls(t, gateway, worker), 0);
  });
});

test("a worker that left in the lost seconds is not used by its entry in the copy", async (t) => {
  await withTwoWorkers(async (setting) => {
    const { fleet, gateway, worker } = setting;
    const copy = fleet.store.copy();
    fleet.store.remove(`servers/${worker.id}`);
    await settle(setting, 2, "key-2");
    fleet.store.restore(copy);
    await settle(setting, 3, "key-3");
    t.is(await countCalls(t, gateway, worker), 0);
  });
});

test("a worker that started again in the lost seconds is not taken for its start before", async (t) => {
  await withTwoWorkers(async (setting) => {
    const { fleet, gateway, worker } = setting;
    const copy = fleet.store.copy();
    worker.startedAt += 1_000;
    fleet.publishWorker(worker, "s", "ready");
    await settle(setting, 2, "key-2");
    fleet.store.restore(copy);
    await settle(setting, 3, "key-3");
    t.true(await countCalls(t, gateway, worker) > 0);
  });
});

test("a worker born in the lost seconds is used until it is written again", async (t) => {
  await withTwoWorkers(async (setting) => {
    const { fleet, gateway, worker, other } = setting;
    const copy = fleet.store.copy();
    const born = await fleet.startWorker("s");
    await settle(setting, 2, "key-2");
    fleet.publishWorker(worker, "s", "draining");
    fleet.publishWorker(other, "s", "draining");
    await settle(setting, 3, "key-3");
    fleet.store.restore(copy);
    t.is(await countCalls(t, gateway, born), CALLS);
    fleet.publishWorker(born, "s", "ready");
    await settle(setting, 4, "key-4");
    t.is(await countCalls(t, gateway, born), CALLS);
  });
});

test("a worker of the copy that is removed after the return is used no more", async (t) => {
  await withTwoWorkers(async (setting) => {
    const { fleet, gateway, worker } = setting;
    const copy = fleet.store.copy();
    rewrite(setting);
    await settle(setting, 2, "key-2");
    fleet.store.restore(copy);
    fleet.store.remove(`servers/${worker.id}`);
    await settle(setting, 3, "key-3");
    await waitUntil(
      "only the other is used",
      async () => await countCalls(t, gateway, worker) === 0,
    );
  });
});

test("a key that was taken away in the lost seconds stays taken away", async (t) => {
  await withTwoWorkers(async (setting) => {
    const { fleet, gateway } = setting;
    await settle(setting, 2, "key-2");
    const copy = fleet.store.copy();
    fleet.publishConfiguration(3, [KEY, "key-3"]);
    await waitForStatus(gateway, "key-3", 200);
    t.is((await call(gateway, "key-2")).status, 401);
    fleet.store.restore(copy);
    fleet.publishWorker(setting.worker, "s", "draining");
    await waitUntil(
      "the return is heard of",
      async () => await countCalls(t, gateway, setting.worker) === 0,
    );
    t.is((await call(gateway, "key-2")).status, 401);
    t.is((await call(gateway, "key-3")).status, 200);
  });
});

test("a host that starts after the return learns from the others that a worker drains", async (t) => {
  await withTwoWorkers(async (setting) => {
    const { fleet, worker } = setting;
    const copy = fleet.store.copy();
    fleet.publishWorker(worker, "s", "draining");
    raiseRevision(fleet);
    await settle(setting, 2, "key-2");
    fleet.store.restore(copy);
    await settle(setting, 3, "key-3");
    const fresh = await fleet.startGateway();
    await waitForStatus(fresh, KEY, 200);
    await waitUntil(
      "only the other is used",
      async () => await countCalls(t, fresh, worker) === 0,
    );
  });
});

test("two returns one after the other are told apart", async (t) => {
  await withTwoWorkers(async (setting) => {
    const { fleet, gateway, worker } = setting;
    const copy = fleet.store.copy();
    rewrite(setting);
    await settle(setting, 2, "key-2");
    fleet.store.restore(copy);
    fleet.store.restore(copy);
    fleet.publishWorker(worker, "s", "draining");
    await settle(setting, 3, "key-3");
    t.is(await countCalls(t, gateway, worker), 0);
  });
});
