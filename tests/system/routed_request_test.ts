import test from "ava";
import { getFullText } from "../../fakes/response_text.ts";
import { Caller } from "../../tools/caller.ts";
import { Fleet } from "../../tools/fleet.ts";

test.serial("a follow-up message of a chat gets a complete response through another router and reuses the prompt cache", async (t) => {
  const fleet = await Fleet.create();
  const caller = Caller.create();
  try {
    const [first, second] = fleet.routers;
    const customer = "kilima/rosters";
    const firstMessage = "the shift history of the whole season ".repeat(20);
    const response = await caller.chat(
      { customer, router: first!.address },
      "c1",
      [firstMessage],
    );
    t.is(response.text, getFullText(firstMessage, 20));
    const next = await caller.chat(
      { customer, router: second!.address },
      "c1",
      [firstMessage, response.text, "and now?"],
    );
    t.true(next.isComplete);
    const runs = fleet.engines.flatMap((engine) => engine.ledger.runs);
    t.is(runs.length, 2);
    t.true(runs[1]!.cachedTokens >= runs[0]!.promptTokens);
  } finally {
    await caller.close();
    await fleet.close();
  }
});

test.serial("a booking with the same key runs once and its response is replayed by every router", async (t) => {
  const fleet = await Fleet.create();
  const caller = Caller.create();
  try {
    const responses = [];
    for (const router of fleet.routers) {
      responses.push(
        await caller.book(
          { customer: "rodar/dispatch", router: router.address },
          "shift 1",
          "key-1",
        ),
      );
    }
    t.deepEqual(responses.map((response) => response.status), [200, 200, 200]);
    t.deepEqual(responses.map((response) => response.isReplayed), [
      false,
      true,
      true,
    ]);
    t.is(new Set(responses.map((response) => response.text)).size, 1);
    t.is(fleet.services.flatMap((service) => service.ledger.runs).length, 1);
  } finally {
    await caller.close();
    await fleet.close();
  }
});
