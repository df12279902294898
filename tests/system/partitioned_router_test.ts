/** Guards against routers that have lost their paths to all upstreams and decline the work on those that they own. */
import test from "ava";
import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { PARTITION_KINDS } from "../../fakes/network_partition.ts";
import type { Caller } from "../../tools/caller.ts";
import { withFleet } from "./with_fleet.ts";

/** Time after the start of a partition from which callers must be served, in milliseconds. */
const CONTACT_MS = 3_000;
/** Pause between the rounds of requests that go to every router during that time, in milliseconds. */
const PAUSE_MS = 250;
/** Rounds of a chat and a booking at each router after that time. */
const ROUNDS = 20;
const ROUTERS = 3;
/** Time that a service takes for a booking, in milliseconds. */
const WORK_MS = 400;
/** Time limit of a request, in milliseconds. */
const TIMEOUT_MS = 2_000;

/** Sends a chat and a booking to a router; returns how many were served. */
async function sendRound(caller: Caller, router: string): Promise<number> {
  const key = randomUUID();
  const chat = { customer: "kilima/rosters", router, timeoutMs: TIMEOUT_MS };
  const booking = { ...chat, customer: "rodar/dispatch" };
  const responses = await Promise.all([
    caller.chat(chat, key, ["a message"]),
    caller.book(booking, key, key),
  ]);
  return responses.filter(({ isComplete }) => isComplete).length;
}

for (const kind of PARTITION_KINDS) {
  for (const partitioned of [1, ROUTERS - 1]) {
    test.serial(`${partitioned} of ${ROUTERS} routers without a path to any upstream serve as the others do (${kind})`, async (t) => {
      await withFleet(
        { routers: ROUTERS, useProxies: true },
        async (fleet, caller) => {
          const addresses = fleet.routers.map(({ address }) => address);
          const upstreamIds = [...fleet.engines, ...fleet.services]
            .map(({ options }) => options.id);
          const partitions = fleet.routers.slice(0, partitioned)
            .map(({ id }) => fleet.proxyMesh.getPartition(id, upstreamIds));
          await Promise.all(partitions.map((each) => each.start(kind)));
          const contactAt = performance.now() + CONTACT_MS;
          while (performance.now() < contactAt) {
            const round = addresses.map((each) => sendRound(caller, each));
            await Promise.all([...round, delay(PAUSE_MS)]);
          }
          const served = addresses.map(() => 0);
          for (let round = 0; round < ROUNDS; round++) {
            const counts = await Promise.all(
              addresses.map((each) => sendRound(caller, each)),
            );
            counts.forEach((count, index) => served[index]! += count);
          }
          await Promise.all(partitions.map((each) => each.end()));
          t.deepEqual(served, addresses.map(() => 2 * ROUNDS));
        },
      );
    });
  }
}

test.serial("requests under way at routers that lose their paths by resets are not held", async (t) => {
  await withFleet(
    { routers: ROUTERS, useProxies: true, service: { callMs: WORK_MS } },
    async (fleet, caller) => {
      const serviceIds = fleet.services.map(({ options }) => options.id);
      const partitions = fleet.routers.map(({ id }) =>
        fleet.proxyMesh.getPartition(id, serviceIds)
      );
      const book = () =>
        fleet.routers.map(({ address }) =>
          caller.book({ customer: "rodar/dispatch", router: address }, "body")
        );
      for (let round = 0; round < 3; round++) {
        const bookings = book();
        await delay(WORK_MS / 2);
        await Promise.all(partitions.map((each) => each.start("reset")));
        await Promise.all(bookings);
        await Promise.all(partitions.map((each) => each.end()));
      }
      const kinds = (await Promise.all(book())).map(({ kind }) => kind);
      t.false(kinds.includes("crashes_upstreams"), kinds.join(" "));
    },
  );
});
