import test from "ava";
import { Load } from "../../tools/load.ts";
import type { Fleet } from "../../tools/fleet.ts";
import { waitUntil, withFleet } from "./with_fleet.ts";

/** Time after which a leaving upstream may receive nothing new. */
const LEAVE_LIMIT_MS = 4_000;

function startLoad(fleet: Fleet): Load {
  return Load.start({
    seed: 7,
    routers: () => fleet.routers.map((router) => router.address),
    chats: { "kilima/rosters": 8 },
    bookers: 4,
    answerTokens: 5,
    openingLength: 100,
    pauseMs: [1, 20],
    bookingTries: 1,
    turns: 10,
  });
}

const CASES = [
  {
    name: "by a list that every router reads",
    leave: (fleet: Fleet) => fleet.setState("e1", "leaving"),
  },
  {
    name:
      "by a list that one router does not read, for its platform is out of reach",
    leave: async (fleet: Fleet) => {
      fleet.platformLinks.get("r1")!.setMode("freeze");
      await fleet.setState("e1", "leaving");
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
    await withFleet({ proxied: true }, async (fleet) => {
      const engine = fleet.engines[0]!;
      const load = startLoad(fleet);
      await waitUntil(
        "work on the engine",
        () => engine.ledger.runs.length > 20,
      );
      await leave(fleet);
      const limit = Date.now() + LEAVE_LIMIT_MS;
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
      t.is(result.wrongChats + result.brokenChats + result.refusedChats, 0);
    });
  });
}
