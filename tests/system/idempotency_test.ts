import test from "ava";
import type { FakeService } from "../../fakes/fake_service.ts";
import type { Fleet } from "../../tools/fleet.ts";
import { waitUntil, withFleet } from "./with_fleet.ts";

const CUSTOMER = "rodar/dispatch";

function countRuns(services: readonly FakeService[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const run of services.flatMap((service) => service.ledger.runs)) {
    counts.set(run.key, (counts.get(run.key) ?? 0) + 1);
  }
  return counts;
}

function getRouterIds(fleet: Fleet): string[] {
  return fleet.routers.map((router) => router.id);
}

test.serial("a key sent through all routers at once runs once, and every key gets a complete response", async (t) => {
  await withFleet(
    { routers: 5, service: { callMs: 50 } },
    async (fleet, caller) => {
      const keys = Array.from({ length: 20 }, (_, index) => `key-${index}`);
      const pendingResponses = keys.flatMap((key) =>
        fleet.routers.map((router) =>
          caller.book({ customer: CUSTOMER, router: router.address }, key, key)
        )
      );
      const responses = await Promise.all(pendingResponses);
      t.true(
        [...countRuns(fleet.services).values()].every((count) => count === 1),
      );
      t.is(
        responses.filter((response) => response.isComplete).length +
          responses.filter((response) => response.ran === "unknown").length,
        100,
      );
      for (const key of keys) {
        t.true(
          responses.some((response) =>
            response.isComplete && response.text.includes(key)
          ),
        );
      }
    },
  );
});

test.serial("a key does not run again when the router that received it is killed while it runs", async (t) => {
  await withFleet(
    { routers: 4, service: { callMs: 600 } },
    async (fleet, caller) => {
      const [first, ...others] = fleet.routers;
      const keys = Array.from({ length: 8 }, (_, index) => `key-${index}`);
      const pendingResponses = keys.map((key) =>
        caller.book({ customer: CUSTOMER, router: first!.address }, key, key)
      );
      await waitUntil(
        "all bookings to run",
        () => countRuns(fleet.services).size === keys.length,
      );
      await first!.kill();
      await Promise.all(pendingResponses);
      first!.start();
      await fleet.waitUntilServing();
      for (const router of [first!, ...others]) {
        const options = { customer: CUSTOMER, router: router.address };
        const responses = await Promise.all(
          keys.map((key) => caller.book(options, key, key)),
        );
        t.true(
          responses.every((response) =>
            !response.isComplete && response.ran === "unknown"
          ),
        );
      }
      t.true(
        [...countRuns(fleet.services).values()].every((count) => count === 1),
      );
    },
  );
});

test.serial("a key sent to both sides of a partitioned fleet runs exactly once", async (t) => {
  await withFleet({ routers: 5, useProxies: true }, async (fleet, caller) => {
    const ids = getRouterIds(fleet);
    const [left, right] = [ids.slice(0, 2), ids.slice(2)];
    fleet.proxyMesh.part(left, right, "freeze");
    const sides = [fleet.routers[0]!, fleet.routers[4]!];
    const keys = Array.from({ length: 24 }, (_, index) => `key-${index}`);
    const responses = await Promise.all(
      keys.flatMap((key) =>
        sides.map((router) =>
          caller.book({ customer: CUSTOMER, router: router.address }, key, key)
        )
      ),
    );
    const counts = countRuns(fleet.services);
    t.true([...counts.values()].every((count) => count === 1));
    t.true(
      responses.filter((response) => !response.isComplete).every((response) =>
        response.ran === "unknown"
      ),
    );
    const isDoneByKey = keys.map((key) =>
      responses.some((response) =>
        response.isComplete && response.text.includes(`"${key}"`)
      )
    );
    t.true(isDoneByKey.every((isDone) => isDone));
    fleet.proxyMesh.part(left, right, "pass");
  });
});

test.serial("a key does not run again after its witnesses are restarted one by one", async (t) => {
  await withFleet({ routers: 4 }, async (fleet, caller) => {
    const keys = Array.from({ length: 10 }, (_, index) => `key-${index}`);
    const entry = fleet.routers[0]!;
    await Promise.all(
      keys.map((key) =>
        caller.book({ customer: CUSTOMER, router: entry.address }, key, key)
      ),
    );
    for (const router of fleet.routers.slice(1)) {
      await router.kill();
      router.start();
      await fleet.waitUntilServing();
      const options = { customer: CUSTOMER, router: router.address };
      await Promise.all(keys.map((key) => caller.book(options, key, key)));
    }
    t.deepEqual([...countRuns(fleet.services).values()], keys.map(() => 1));
  });
});
