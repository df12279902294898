import test from "ava";
import { LoadGenerator } from "../../tools/load_generator.ts";
import type { Fleet } from "../../tools/fleet.ts";
import { waitUntil, withFleet } from "./with_fleet.ts";

/** Time after which a leaving upstream may receive nothing new. */
const DRAIN_LIMIT_MS = 4_000;

function startLoad(fleet: Fleet): LoadGenerator {
  return LoadGenerator.start({
    seed: 7,
    routers: () => fleet.routers.map((router) => router.address),
    chatsByCustomer: { "kilima/rosters": 8 },
    bookingLoops: 4,
    responseTokens: 5,
    firstMessageLength: 100,
    pauseMs: [1, 20],
    maxBookingAttempts: 1,
    turnsPerChat: 10,
  });
}

const CASES = [
  {
    name: "by a list that every router reads",
    leave: (fleet: Fleet) => fleet.setHostState("e1", "leaving"),
  },
  {
    name:
      "by a list that one router does not read, for its platform is out of reach",
    leave: async (fleet: Fleet) => {
      fleet.platformProxies.get("r1")!.setMode("freeze");
      await fleet.setHostState("e1", "leaving");
    },
  },
  {
    name: "by its own word, with the platform down",
    leave: (fleet: Fleet) => {
      fleet.platform.setMode("down");
      fleet.engines[0]!.leaving = true;
      return Promise.resolve();
    },
  },
];

for (const { name, leave } of CASES) {
  test.serial(`a leaving upstream gets nothing new after a few seconds: ${name}`, async (t) => {
    await withFleet({ useProxies: true }, async (fleet) => {
      const engine = fleet.engines[0]!;
      const load = startLoad(fleet);
      await waitUntil(
        "work on the engine",
        () => engine.ledger.runs.length > 20,
      );
      await leave(fleet);
      const limit = Date.now() + DRAIN_LIMIT_MS;
      const countOthers = () =>
        fleet.engines.slice(1).reduce(
          (sum, other) => sum + other.ledger.runs.length,
          0,
        );
      await waitUntil("time for late work", () => Date.now() > limit);
      const before = countOthers();
      await waitUntil(
        "much work elsewhere",
        () => countOthers() > before + 200,
      );
      const result = await load.stop();
      t.deepEqual(engine.ledger.refusedAt.filter((at) => at > limit), []);
      t.is(engine.ledger.runs.filter((run) => run.startedAt > limit).length, 0);
      t.is(
        result.mismatchedChats + result.failedChats + result.refusedChats,
        0,
      );
    });
  });
}
