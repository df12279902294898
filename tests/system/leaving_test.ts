import test from "ava";
import { LoadGenerator } from "../../tools/load.ts";
import type { Fleet } from "../../tools/fleet.ts";
import { waitUntil, withFleet } from "./with_fleet.ts";

/** Time after which a leaving upstream must not receive new requests, in milliseconds. */
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
    name: "announced by a host list that every router reads",
    leave: (fleet: Fleet) => fleet.setHostState("e1", "leaving"),
  },
  {
    name:
      "announced by a host list that one router does not read because it cannot reach the platform",
    leave: async (fleet: Fleet) => {
      fleet.platformProxies.get("r1")!.setMode("freeze");
      await fleet.setHostState("e1", "leaving");
    },
  },
  {
    name: "announced by itself while the platform is down",
    leave: (fleet: Fleet) => {
      fleet.platform.setMode("down");
      fleet.engines[0]!.leaving = true;
      return Promise.resolve();
    },
  },
];

for (const { name, leave } of CASES) {
  test.serial(`a leaving upstream gets no new requests after a few seconds: ${name}`, async (t) => {
    await withFleet({ useProxies: true }, async (fleet) => {
      const engine = fleet.engines[0]!;
      const load = startLoad(fleet);
      await waitUntil(
        "requests on the engine",
        () => engine.ledger.runs.length > 20,
      );
      await leave(fleet);
      const drainDeadline = Date.now() + DRAIN_LIMIT_MS;
      const countRunsOnOthers = () =>
        fleet.engines.slice(1).reduce(
          (sum, other) => sum + other.ledger.runs.length,
          0,
        );
      await waitUntil("the drain limit", () => Date.now() > drainDeadline);
      const before = countRunsOnOthers();
      await waitUntil(
        "200 more requests on other engines",
        () => countRunsOnOthers() > before + 200,
      );
      const result = await load.stop();
      t.deepEqual(
        engine.ledger.refusedAt.filter((at) => at > drainDeadline),
        [],
      );
      t.is(
        engine.ledger.runs.filter((run) => run.startedAt > drainDeadline)
          .length,
        0,
      );
      t.is(
        result.mismatchedChats + result.failedChats + result.refusedChats,
        0,
      );
    });
  });
}
