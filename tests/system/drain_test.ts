import test from "ava";
import { LoadGenerator } from "../../tools/load.ts";
import { findInvariantViolations } from "../../tools/verdict.ts";
import { withFleet } from "./with_fleet.ts";

test.serial("a rolling planned stop of every router cuts off nothing and refuses nothing", async (t) => {
  const settings = { locate: { lifetimeMs: 1_000 } };
  await withFleet({
    routers: 4,
    settings,
    engine: { tokenMs: 4 },
    service: { callMs: 30 },
  }, async (fleet) => {
    const load = LoadGenerator.start({
      seed: 11,
      routers: () => fleet.routers.map((router) => router.address),
      chatsByCustomer: { "kilima/rosters": 12, "rodar/dispatch": 6 },
      bookingLoops: 8,
      responseTokens: 60,
      firstMessageLength: 400,
      pauseMs: [1, 60],
      maxBookingAttempts: 1,
      turnsPerChat: 8,
    });
    for (const router of fleet.routers) {
      router.signal("SIGTERM");
      t.is(await router.waitForExit(), 0);
      router.start();
      await fleet.waitUntilServing();
    }
    const result = await load.stop();
    t.is(
      result.failedChats + result.mismatchedChats + result.refusedChats,
      0,
      JSON.stringify(result.responsesByKind),
    );
    t.is(
      result.bookings.filter((booking) => !booking.responses[0]!.isComplete)
        .length,
      0,
      JSON.stringify(result.responsesByKind),
    );
    t.deepEqual(
      findInvariantViolations(
        result,
        fleet.services.flatMap((service) => service.ledger.runs),
      ),
      [],
    );
  });
});
