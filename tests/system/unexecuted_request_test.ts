import test from "ava";
import { findInvariantViolations } from "../../tools/invariant_checks.ts";
import type { BookingRecord } from "../../tools/load_generator.ts";
import type { RouterStatus } from "../../src/router/router_status.ts";
import type { RouterProcess } from "../../tools/router_process.ts";
import { waitUntil, withFleet } from "./with_fleet.ts";

const CUSTOMER = "rodar/dispatch";
/** Time for which a router process is paused, in milliseconds; longer than the gap that a router detects as a pause. */
const PAUSE_MS = 1_800;

test.serial("a request reported as not run is not run by a paused owner that resumes later", async (t) => {
  await withFleet(
    { routers: 3, service: { callMs: 20 } },
    async (fleet, caller) => {
      const [entry, ...others] = fleet.routers;
      const book = async (
        id: string,
        timeoutMs: number,
      ): Promise<BookingRecord> => {
        const response = await caller.book({
          customer: CUSTOMER,
          router: entry!.address,
          timeoutMs,
        }, id);
        return { id, hasIdempotencyKey: false, responses: [response] };
      };
      const bookings: BookingRecord[] = [];
      for (const router of others) {
        router.signal("SIGSTOP");
        const resumesAt = Date.now() + PAUSE_MS;
        const timeouts = Array.from(
          { length: 15 },
          (_, index) => 20 + index * 60,
        );
        const ids = timeouts.map((timeout) => `${router.id}-${timeout}`);
        bookings.push(
          ...await Promise.all(
            timeouts.map((timeout, index) => book(ids[index]!, timeout)),
          ),
        );
        await waitUntil("the end of the pause", () => Date.now() > resumesAt);
        router.signal("SIGCONT");
        await waitUntil(
          "the owner to detect the pause",
          () =>
            router.logLines.some((line) => line.includes("process_was_paused")),
        );
        await router.waitFor(
          (status) =>
            status.upstreams.every((upstream) => upstream.running === 0),
          "idle",
        );
      }
      const runs = fleet.services.flatMap((service) => service.ledger.runs);
      t.deepEqual(
        findInvariantViolations({ mismatchedChats: 0, bookings }, runs),
        [],
      );
      t.true(bookings.some((booking) => booking.responses[0]!.ran === "no"));
      t.true(bookings.some((booking) => booking.responses[0]!.isComplete));
    },
  );
});

test.serial("if a service accepts a request and never responds, the outcome is unknown and the request runs once", async (t) => {
  const settings = { routing: { stallTimeoutMs: 400 } };
  await withFleet({ settings }, async (fleet, caller) => {
    for (const service of fleet.services) service.fault = "silent";
    const response = await caller.book({
      customer: CUSTOMER,
      router: fleet.routers[0]!.address,
    }, "shift 1");
    t.is(response.kind, "outcome_unknown");
    t.is(fleet.services.flatMap((service) => service.ledger.runs).length, 1);
  });
});

test.serial("a request that no upstream accepted is refused at once as not run, with a time to retry", async (t) => {
  await withFleet({ services: 2 }, async (fleet, caller) => {
    for (const service of fleet.services) await service.close();
    const response = await caller.book({
      customer: CUSTOMER,
      router: fleet.routers[0]!.address,
    }, "shift 1");
    t.is(response.ran, "no");
    t.true(Number(response.retryAfter) > 0);
    t.is(fleet.services.flatMap((service) => service.ledger.runs).length, 0);
  });
});

test.serial("requests queued at an owner that the entry can no longer reach are reported as not run, and are not run", async (t) => {
  const options = {
    routers: 2,
    engines: 0,
    services: 1,
    slots: 3,
    useProxies: true,
    service: { callMs: 2_000 },
  };
  await withFleet(options, async (fleet, caller) => {
    const owners: RouterProcess[] = [];
    await waitUntil("an owner of the service", async () => {
      const statuses = await Promise.all(
        fleet.routers.map((router) => router.getStatus()),
      );
      const owns = (status: RouterStatus | undefined) =>
        status?.upstreams.some((upstream) => upstream.owned) ?? false;
      owners.splice(
        0,
        owners.length,
        ...fleet.routers.filter((_, index) => owns(statuses[index])),
      );
      return owners.length === 1;
    });
    const owner = owners[0]!;
    const entry = fleet.routers.find((router) => router !== owner)!;
    const runs = fleet.services[0]!.ledger.runs;
    const bookings: Promise<BookingRecord>[] = [];
    let pendingCount = 0;
    const book = async (id: string): Promise<BookingRecord> => {
      pendingCount += 1;
      const response = await caller.book({
        customer: CUSTOMER,
        router: entry.address,
        timeoutMs: 900,
      }, id);
      pendingCount -= 1;
      return { id, hasIdempotencyKey: false, responses: [response] };
    };
    // An owner that missed a probe of the other router uses only one of three slots for longer than the callers'
    // timeout, so more bookings are sent until three run.
    await waitUntil("three bookings to run", () => {
      if (runs.length >= 3 || pendingCount > 0) return runs.length >= 3;
      for (let count = 0; count < 12; count++) {
        bookings.push(book(`waiting-${bookings.length}`));
      }
      return false;
    });
    fleet.proxyMesh.part([entry.id], [owner.id], "freeze");
    const records = await Promise.all(bookings);
    await owner.waitFor(
      (status) =>
        status.upstreams.every((upstream) =>
          upstream.running + upstream.waiting === 0
        ),
      "idle",
    );
    t.true(records.some((booking) => booking.responses[0]!.ran === "no"));
    t.deepEqual(
      findInvariantViolations({ mismatchedChats: 0, bookings: records }, runs),
      [],
    );
  });
});
