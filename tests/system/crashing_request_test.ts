/** The routers had the fault that gateways had: one chat request crashed every engine that began it, for each attempt and
 * each try began without knowing of the ones before. Here the router itself did most of the harm: of one try it brought the
 * request to three engines in a row, and logged `upstream_failed reason=UND_ERR_SOCKET` for each. */
import test from "ava";
import { waitUntil, withFleet } from "./with_fleet.ts";

const CUSTOMER = "kilima/rosters";
const CRASHING_TEXT = "a text that crashes";
const ENGINE_COUNT = 9;
const ATTEMPT_COUNT = 9;
/** Engines that may end: two, after which the request is held, and as many for tries that were under way. */
const MAX_CRASHES = 4;

test.serial("a chat request that crashes every engine is kept from the rest, whichever router it comes to", async (t) => {
  await withFleet({ engines: ENGINE_COUNT }, async (fleet, caller) => {
    for (const engine of fleet.engines) engine.crashingText = CRASHING_TEXT;
    const send = (index: number, text: string, chat = "c1") => {
      const router = fleet.routers[index % fleet.routers.length]!.address;
      return caller.chat({ customer: CUSTOMER, router }, chat, [text]);
    };
    let chats = 0;
    for (let index = 0; index < ATTEMPT_COUNT; index++) {
      await send(index, CRASHING_TEXT);
    }
    const crashed = fleet.engines.filter((engine) => engine.hasCrashed).length;
    t.true(crashed <= MAX_CRASHES, `${crashed} engines crashed`);
    for (let index = 0; index < fleet.routers.length; index++) {
      await waitUntil(
        "the router refuses it as held",
        async () =>
          (await send(index, CRASHING_TEXT)).kind === "crashes_upstreams",
      );
      const refused = await send(index, CRASHING_TEXT);
      t.is(refused.ran, "no");
      t.true(Number(refused.retryAfter) > 0);
      await waitUntil("other chats are served", async () => {
        chats += 1;
        return (await send(index, "any other text", `other-${chats}`))
          .isComplete;
      });
    }
    t.true(
      fleet.engines.filter((engine) => engine.hasCrashed).length <=
        MAX_CRASHES,
    );
  });
});
