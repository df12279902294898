import test from "ava";
import { Load } from "../../tools/load.ts";
import { findBrokenPromises } from "../../tools/verdict.ts";
import { withFleet } from "./with_fleet.ts";

test.serial("a rolling planned stop of every router cuts off nothing and refuses nothing", async (t) => {
  const settings = { locate: { lifetimeMs: 1_000 } };
  await withFleet({
    routers: 4,
    settings,
    engine: { tokenMs: 4 },
    service: { callMs: 30 },
  }, async (fleet) => {
    const load = Load.start({
      seed: 11,
      routers: () => fleet.routers.map((router) => router.address),
      chats: { "kilima/rosters": 12, "rodar/dispatch": 6 },
      bookers: 8,
      answerTokens: 60,
      openingLength: 400,
      pauseMs: [1, 60],
      bookingTries: 1,
      turns: 8,
    });
    for (const router of fleet.routers) {
      router.signal("SIGTERM");
      t.is(await router.waitForExit(), 0);
      router.start();
      await fleet.waitUntilServing();
    }
    const result = await load.stop();
    t.is(
      result.brokenChats + result.wrongChats + result.refusedChats,
      0,
      JSON.stringify(result.kinds),
    );
    t.is(
      result.bookings.filter((booking) => !booking.answers[0]!.whole).length,
      0,
      JSON.stringify(result.kinds),
    );
    t.deepEqual(
      findBrokenPromises(
        result,
        fleet.services.flatMap((service) => service.ledger.runs),
      ),
      [],
    );
  });
});
