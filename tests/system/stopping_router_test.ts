/** Guards against chats that a stopping router takes although it can't finish them before its stop ends: callers that
 * still had its address got half of their streams. */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { withFleet } from "./with_fleet.ts";

const CUSTOMER = "kilima/rosters";
/** Time that the stop may take, and for which callers use a located address, in milliseconds. */
const STOP_LIMIT_MS = 4_500;
const LIFETIME_MS = 3_000;
/** Time per token of the engines, in milliseconds, and tokens of a chat that lasts about 2.4 s. */
const TOKEN_MS = 40;
const CHAT_TOKENS = 60;
/** Tokens of a chat that lasts longer than the stop. */
const ENDLESS_TOKENS = 400;
const KNOWN_CHATS = 5;
const PAUSE_MS = 100;

test.serial("a stopping router refuses chats that it can't finish as not run, and finishes those that it takes", async (t) => {
  const settings = {
    locate: { lifetimeMs: LIFETIME_MS },
    drain: { limitMs: STOP_LIMIT_MS },
  };
  await withFleet({
    routers: 2,
    settings,
    engine: { tokenMs: TOKEN_MS },
  }, async (fleet, caller) => {
    const [stopping] = fleet.routers;
    const router = stopping!.address;
    let chats = 0;
    const send = (tokens: number) => {
      chats += 1;
      const options = { customer: CUSTOMER, router };
      return caller.chat(options, `c-${chats}`, [`text ${chats}`], tokens);
    };
    await Promise.all(
      Array.from({ length: KNOWN_CHATS }, () => send(CHAT_TOKENS)),
    );
    const endless = send(ENDLESS_TOKENS);
    await delay(PAUSE_MS);
    stopping!.signal("SIGTERM");
    const exited = stopping!.waitForExit().then(() => true);
    const sent: ReturnType<typeof send>[] = [];
    while (!await Promise.race([exited, delay(PAUSE_MS, false)])) {
      sent.push(send(CHAT_TOKENS));
    }
    await endless;
    const answered = (await Promise.all(sent)).filter((received) =>
      received.kind !== "ECONNREFUSED"
    );
    const refused = answered.filter((received) => received.status === 503);
    const complete = answered.filter((received) => received.isComplete);
    t.true(complete.length > 0);
    t.true(refused.length > 0);
    t.true(
      refused.every((received) =>
        received.kind === "draining" && received.ran === "no"
      ),
    );
    t.is(
      complete.length + refused.length,
      answered.length,
      JSON.stringify(
        answered.map((received) => [received.status, received.isComplete]),
      ),
    );
  });
});
