/** Guards against hosts that lost their paths to all upstreams and served none of their callers until the paths came
 * back. */
import test from "ava";
import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import {
  PARTITION_KINDS,
  type PartitionKind,
} from "../../fakes/network_partition.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { call } from "./call.ts";
import {
  KEY,
  type PartitionedFleet,
  withPartitionedFleet,
} from "./partitioned_fleet.ts";
import { waitForStatus } from "./wait_for_gateway.ts";
import type { TestGateway } from "./with_gateways.ts";

/** Time after the start of a partition from which callers must be served, in milliseconds. */
const CONTACT_MS = 3_000;
/** Pause between the rounds of requests that go to every gateway during that time, in milliseconds. */
const PAUSE_MS = 100;
/** Requests to each gateway after that time. */
const CALLS = 50;
const CONCURRENT_CALLS = 5;
/** Requests that may fail of all: ten, and one in fifty. */
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_RATE = 1 / 50;
/** Time limit of each request, in milliseconds, as of the shortest kinds. */
const DEADLINE_MS = 600;
const GATEWAYS = 4;

async function isServed(gateway: TestGateway): Promise<boolean> {
  const headers = { "x-beechkeel-deadline-ms": String(DEADLINE_MS) };
  const { status } = await call(gateway, KEY, { headers, body: randomUUID() });
  return status === 200;
}

async function countServed(gateway: TestGateway): Promise<number> {
  let served = 0;
  for (let index = 0; index < CALLS; index += CONCURRENT_CALLS) {
    const calls = Array.from(
      { length: CONCURRENT_CALLS },
      () => isServed(gateway),
    );
    served += (await Promise.all(calls)).filter(Boolean).length;
  }
  return served;
}

/** Partitions the first gateways, with traffic at all of them; returns how many requests each served after the contact
 * time. */
async function countServedInPartition(
  { gateways, partitions }: PartitionedFleet,
  partitioned: number,
  kind: PartitionKind,
): Promise<number[]> {
  await Promise.all(gateways.map(isServed));
  await Promise.all(
    partitions.slice(0, partitioned).map((each) => each.start(kind)),
  );
  const contactAt = performance.now() + CONTACT_MS;
  while (performance.now() < contactAt) {
    await Promise.all([...gateways.map(isServed), delay(PAUSE_MS)]);
  }
  return await Promise.all(gateways.map(countServed));
}

for (const kind of PARTITION_KINDS) {
  for (const routeKind of ["idempotent", "non_idempotent"]) {
    for (const partitioned of [1, GATEWAYS - 1]) {
      test.serial(`callers of ${partitioned} of ${GATEWAYS} hosts without a path to any upstream are served (${kind}, ${routeKind})`, async (t) => {
        const route = { route_kind: routeKind, timeout_ms: DEADLINE_MS };
        const options = { gateways: GATEWAYS, workers: 3, route };
        await withPartitionedFleet(options, async (fleet) => {
          const served = await countServedInPartition(fleet, partitioned, kind);
          const total = served.reduce((sum, count) => sum + count);
          const failed = GATEWAYS * CALLS - total;
          const allowed = ALLOWED_FAILURES +
            GATEWAYS * CALLS * ALLOWED_FAILURE_RATE;
          t.true(failed <= allowed, `served of ${CALLS} each: ${served}`);
        });
      });
    }
  }
}

test.serial("hosts that are all without a path refuse as not run, with a time to come back", async (t) => {
  await withPartitionedFleet({ gateways: 3, workers: 3 }, async (fleet) => {
    const { gateways, partitions } = fleet;
    await Promise.all(gateways.map(isServed));
    await Promise.all(partitions.map((each) => each.start("refuse_new")));
    for (const gateway of gateways) {
      const getError = async () =>
        (await call(gateway, KEY, { body: randomUUID() })).headers;
      await waitUntil(
        "the loss is known",
        async () => (await getError())["x-beechkeel-error"] === "no_upstream",
      );
      const headers = await getError();
      t.is(headers["x-beechkeel-ran"], "no");
      t.truthy(headers["retry-after"]);
    }
    await Promise.all(partitions.map((each) => each.end()));
    for (const gateway of gateways) await waitForStatus(gateway, KEY, 200);
  });
});

test.serial("a host without a path is served by the others while one after the other stops", async (t) => {
  await withPartitionedFleet({ gateways: 4, workers: 3 }, async (fleet) => {
    const [cutOff, first, second] = fleet.gateways;
    await fleet.partitions[0]!.start("reset");
    await waitForStatus(cutOff!, KEY, 200);
    for (const leaving of [first!, second!]) {
      const drained = leaving.gateway.drain();
      let served = 0;
      for (let index = 0; index < CALLS; index++) {
        if (await isServed(cutOff!)) served += 1;
      }
      t.is(served, CALLS);
      await drained;
      await waitForStatus(cutOff!, KEY, 200);
    }
  });
});
