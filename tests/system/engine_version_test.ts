import test, { type ExecutionContext } from "ava";
import type { FakeEngine } from "../../fakes/fake_engine.ts";
import { getFullText } from "../../fakes/response_text.ts";
import type { Caller } from "../../tools/caller.ts";
import type { Fleet } from "../../tools/fleet.ts";
import { findPlacement } from "./find_placement.ts";
import { waitUntil, withFleet } from "./with_fleet.ts";

const CUSTOMER = "kilima/rosters";
const LONG_RESPONSE_TOKENS = 300;

/** Publishes the versions of the engines, and waits until all routers know them. */
async function publishVersions(
  fleet: Fleet,
  getVersion: (engine: FakeEngine) => string,
): Promise<void> {
  for (const engine of fleet.engines) {
    engine.options.softwareVersion = getVersion(engine);
  }
  let known = 0;
  await fleet.routers[0]!.waitFor(({ hostListVersion }) => {
    known = hostListVersion;
    return true;
  }, "status");
  await fleet.publishHosts();
  await Promise.all(fleet.routers.map((router) =>
    router.waitFor(
      ({ hostListVersion }) => hostListVersion > known,
      "the new host list",
    )
  ));
}

/** Sends a chat whose engine stops midway; returns the response and the runs at other engines. */
async function stopEngineMidway(
  t: ExecutionContext,
  fleet: Fleet,
  caller: Caller,
  isOfSameVersion: (engine: FakeEngine, index: number) => boolean,
) {
  const { engine, entry } = await findPlacement(fleet, "c1");
  const others = fleet.engines.filter((other) => other !== engine);
  await publishVersions(
    fleet,
    (each) =>
      each === engine || isOfSameVersion(each, others.indexOf(each))
        ? "v1"
        : "v2",
  );
  const pendingResponse = caller.chat(
    { customer: CUSTOMER, router: entry.address },
    "c1",
    ["hello"],
    LONG_RESPONSE_TOKENS,
  );
  await waitUntil("some of the response", () => engine.chunksInFlight > 20);
  await engine.close();
  const response = await pendingResponse;
  const runs = others.filter(({ ledger }) => ledger.runs.length > 0);
  t.true(engine.ledger.runs.length > 0);
  return { response, runs };
}

test.serial("a response whose engine stops midway is completed by an engine of the same software version", async (t) => {
  await withFleet({ engine: { tokenMs: 5 } }, async (fleet, caller) => {
    const { response, runs } = await stopEngineMidway(
      t,
      fleet,
      caller,
      (_engine, index) => index === fleet.engines.length - 2,
    );
    t.true(response.isComplete);
    t.is(response.text, getFullText("hello", LONG_RESPONSE_TOKENS));
    t.deepEqual(runs.map(({ options }) => options.softwareVersion), ["v1"]);
  });
});

test.serial("a response whose engine stops midway ends visibly incomplete if all other engines are of another software version", async (t) => {
  await withFleet({ engine: { tokenMs: 5 } }, async (fleet, caller) => {
    const { response, runs } = await stopEngineMidway(
      t,
      fleet,
      caller,
      () => false,
    );
    t.false(response.isComplete);
    t.deepEqual(runs, []);
  });
});
