/** Guards against one chat request crashing every engine that starts it, a fault that gateways had too: each retry of
 * the caller and each attempt of a router was made without knowledge of the earlier ones. Most crashes came from the
 * router itself, which sent one request to three engines in a row and logged `upstream_failed reason=UND_ERR_SOCKET`
 * for each. */
import test from "ava";
import { waitUntil, withFleet } from "./with_fleet.ts";

const CUSTOMER = "kilima/rosters";
const CRASHING = "a text that crashes";
const ENGINE_COUNT = 9;
const ATTEMPTS = 9;
/** Maximum number of engines that may crash: two until the request is blocked, and two for attempts in flight. */
const MAX_CRASHES = 4;

test.serial("a chat request that crashes engines is blocked from the remaining ones, whichever router receives it", async (t) => {
  await withFleet({ engines: ENGINE_COUNT }, async (fleet, caller) => {
    for (const engine of fleet.engines) engine.crashingText = CRASHING;
    const send = (index: number, text: string, chat = "c1") => {
      const router = fleet.routers[index % fleet.routers.length]!.address;
      return caller.chat({ customer: CUSTOMER, router }, chat, [text]);
    };
    let chats = 0;
    for (let index = 0; index < ATTEMPTS; index++) await send(index, CRASHING);
    const crashed = fleet.engines.filter((engine) => engine.hasCrashed).length;
    t.true(crashed <= MAX_CRASHES, `${crashed} engines crashed`);
    for (let index = 0; index < fleet.routers.length; index++) {
      await waitUntil(
        "the router refuses the crashing request",
        async () => (await send(index, CRASHING)).kind === "crashes_upstreams",
      );
      const refused = await send(index, CRASHING);
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
