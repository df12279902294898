import test from "ava";
import { FakeEngine } from "../../fakes/fake_engine.ts";
import { auditBound } from "../../tools/bound_audit.ts";
import type { Fleet } from "../../tools/fleet.ts";
import { LoadGenerator, type LoadOptions } from "../../tools/load.ts";
import { findPlacement } from "./find_placement.ts";
import { waitUntil, withFleet } from "./with_fleet.ts";

/** Default load bound of the settings, with the maximum age of the mean in milliseconds. */
const LOAD_BOUND = { multiple: 2, minimum: 4, lagMs: 2_000 };

function buildLoad(
  fleet: Fleet,
  seed: number,
  chats: Record<string, number>,
): LoadOptions {
  return {
    seed,
    routers: () => fleet.routers.map((router) => router.address),
    chatsByCustomer: chats,
    bookingLoops: 0,
    responseTokens: 40,
    firstMessageLength: 1_000,
    pauseMs: [5, 60],
    maxBookingAttempts: 1,
    turnsPerChat: 8,
  };
}

function countRuns(fleet: Fleet): number {
  return [...fleet.engines, ...fleet.stoppedEngines].reduce(
    (sum, engine) => sum + engine.ledger.runs.length,
    0,
  );
}

async function waitForRuns(fleet: Fleet, more: number): Promise<void> {
  const target = countRuns(fleet) + more;
  await waitUntil(`${more} more runs`, () => countRuns(fleet) >= target);
}

const FAULTS: Record<string, (fleet: Fleet) => Promise<void>> = {
  "its owner is killed": async (fleet) => {
    await fleet.routers[1]!.kill();
    await waitForRuns(fleet, 150);
    fleet.routers[1]!.start();
    await fleet.waitUntilServing();
  },
  "its owner is frozen and wakes": async (fleet) => {
    fleet.routers[1]!.signal("SIGSTOP");
    await waitForRuns(fleet, 250);
    fleet.routers[1]!.signal("SIGCONT");
  },
  "a hall is partitioned and both sides serve": async (fleet) => {
    const ids = fleet.routers.map((router) => router.id);
    fleet.proxyMesh.part(ids.slice(0, 2), ids.slice(2), "freeze");
    await waitForRuns(fleet, 300);
    fleet.proxyMesh.part(ids.slice(0, 2), ids.slice(2), "pass");
  },
  "one customer's load surges twentyfold": async (fleet) => {
    const surge = LoadGenerator.start(
      buildLoad(fleet, 99, { "rodar/dispatch": 80 }),
    );
    await waitForRuns(fleet, 600);
    await surge.stop();
  },
  "one engine is slow": async (fleet) => {
    fleet.engines[2]!.slowness = 8;
    await waitForRuns(fleet, 200);
  },
  "one engine goes and comes": async (fleet) => {
    for (let round = 0; round < 3; round++) {
      const engine = fleet.engines[0]!;
      await engine.close();
      fleet.stoppedEngines.push(engine);
      await waitForRuns(fleet, 40);
      fleet.engines[0] = await FakeEngine.create({
        ...engine.options,
        port: engine.port,
      });
      await waitForRuns(fleet, 40);
    }
  },
};

for (const [name, inject] of Object.entries(FAULTS)) {
  test.serial(`no engine carries more than the set multiple of the mean while ${name}`, async (t) => {
    await withFleet({ routers: 5, useProxies: true }, async (fleet) => {
      const load = LoadGenerator.start(
        buildLoad(fleet, 5, { "kilima/rosters": 20, "kilima/clinics": 4 }),
      );
      await waitForRuns(fleet, 100);
      await inject(fleet);
      await waitForRuns(fleet, 100);
      const result = await load.stop();
      const report = auditBound(fleet.getEngineLoadHistories(), LOAD_BOUND);
      t.is(report.violations, 0, JSON.stringify(report));
      t.is(result.mismatchedChats, 0);
    });
  });
}

test.serial("both sides of a partitioned fleet together keep an engine's load within the minimum", async (t) => {
  await withFleet(
    { routers: 5, useProxies: true, engine: { tokenMs: 4 } },
    async (fleet, caller) => {
      const chats: string[] = [];
      for (let index = 0; chats.length < 12; index++) {
        const placement = await findPlacement(fleet, `chat-${index}`);
        if (placement.engine === fleet.engines[0]) chats.push(`chat-${index}`);
      }
      const ids = fleet.routers.map((router) => router.id);
      fleet.proxyMesh.part(ids.slice(0, 2), ids.slice(2), "freeze");
      const sides = [{ router: fleet.routers[0]!, heard: 2 }, {
        router: fleet.routers[4]!,
        heard: 3,
      }];
      await Promise.all(
        sides.map(({ router, heard }) =>
          router.waitFor(
            (status) =>
              status.routers.filter((other) => other.heard).length === heard,
            "the partition to be detected",
          )
        ),
      );
      const responses = await Promise.all(chats.map((chat, index) => {
        const { router } = sides[index % 2]!;
        return caller.chat(
          { customer: "kilima/rosters", router: router.address },
          chat,
          ["hello"],
          250,
        );
      }));
      t.true(responses.every((response) => response.isComplete));
      t.true(fleet.engines[0]!.ledger.peakInFlight <= LOAD_BOUND.minimum);
    },
  );
});
