import test from "ava";
import { getFullText } from "../../fakes/response_text.ts";
import type { EngineFault } from "../../fakes/fake_engine.ts";
import { findPlacement } from "./find_placement.ts";
import { waitUntil, withFleet } from "./with_fleet.ts";

const CUSTOMER = "kilima/rosters";
const LONG_RESPONSE_TOKENS = 300;

for (
  const fault of ["crossed", "truncated", "silent"] satisfies EngineFault[]
) {
  test.serial(`the caller gets the complete response despite an engine with fault ${fault}`, async (t) => {
    const settings = { routing: { stallTimeoutMs: 500 } };
    await withFleet({ settings }, async (fleet, caller) => {
      const placement = await findPlacement(fleet, "c1");
      placement.engine.fault = fault;
      const response = await caller.chat(
        { customer: CUSTOMER, router: placement.entry.address },
        "c1",
        ["hello"],
        40,
      );
      t.true(response.isComplete);
      t.is(response.text, getFullText("hello", 40));
      t.true(
        placement.engine.ledger.runs.length + (fault === "silent" ? 1 : 0) > 0,
      );
    });
  });
}

for (const signal of ["SIGKILL", "SIGSTOP"] as const) {
  test.serial(`a response is completed when its owner gets ${signal} midway`, async (t) => {
    await withFleet({ engine: { tokenMs: 5 } }, async (fleet, caller) => {
      const { engine, owner, entry } = await findPlacement(fleet, "c1");
      const pendingResponse = caller.chat(
        { customer: CUSTOMER, router: entry.address },
        "c1",
        ["hello"],
        LONG_RESPONSE_TOKENS,
      );
      await waitUntil("some of the response", () => engine.chunksInFlight > 20);
      owner.signal(signal);
      const response = await pendingResponse;
      t.true(response.isComplete);
      t.is(response.text, getFullText("hello", LONG_RESPONSE_TOKENS));
      t.true(engine.ledger.runs.slice(1).every((run) => run.resumeFrom > 0));
    });
  });
}

test.serial("a response is completed by another engine when its engine stops midway", async (t) => {
  await withFleet({ engine: { tokenMs: 5 } }, async (fleet, caller) => {
    const { engine, entry } = await findPlacement(fleet, "c1");
    const pendingResponse = caller.chat(
      { customer: CUSTOMER, router: entry.address },
      "c1",
      ["hello"],
      LONG_RESPONSE_TOKENS,
    );
    await waitUntil("some of the response", () => engine.chunksInFlight > 20);
    await engine.close();
    const response = await pendingResponse;
    t.true(response.isComplete);
    t.is(response.text, getFullText("hello", LONG_RESPONSE_TOKENS));
    const others = fleet.engines.filter((other) => other !== engine).flatMap((
      other,
    ) => other.ledger.runs);
    t.is(others.length, 1);
    t.true(others[0]!.resumeFrom > 0);
  });
});

test.serial("a response whose entry router is killed ends visibly incomplete", async (t) => {
  await withFleet({ engine: { tokenMs: 5 } }, async (fleet, caller) => {
    const { engine, entry } = await findPlacement(fleet, "c1");
    const pendingResponse = caller.chat(
      { customer: CUSTOMER, router: entry.address },
      "c1",
      ["hello"],
      LONG_RESPONSE_TOKENS,
    );
    await waitUntil("some of the response", () => engine.chunksInFlight > 20);
    await entry.kill();
    t.false((await pendingResponse).isComplete);
    await waitUntil("the engine to be idle", () => engine.inFlight === 0);
  });
});

test.serial("a service's response to another request never reaches the caller", async (t) => {
  await withFleet({}, async (fleet, caller) => {
    for (const service of fleet.services) service.fault = "crossed";
    const response = await caller.book({
      customer: "rodar/dispatch",
      router: fleet.routers[0]!.address,
    }, "shift 1");
    t.is(response.kind, "outcome_unknown");
    t.is(response.ran, "unknown");
    t.is(fleet.services.flatMap((service) => service.ledger.runs).length, 1);
  });
});
