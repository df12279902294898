/** Guards against one message of chats crashing every engine that starts to answer them: no two of the chats are alike,
 * so each was sent anew. */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { waitUntil, withFleet } from "./with_fleet.ts";

const CUSTOMER = "kilima/rosters";
const CRASHING = "a document that crashes";
const ENGINES = 12;
const CHATS = 24;
/** Number of crashes after which all routers must know the message. */
const KNOWN_CRASHES = 5;
/** Time after the last of them within which they do, in milliseconds. */
const SETTLING_MS = 1_000;
/** Maximum number of chats with it that may reach engines after that. */
const MAX_LATE_CRASHES = 3;

test.serial("chats that share a message which crashes engines are withheld from the remaining ones, and others are served", async (t) => {
  await withFleet({ engines: ENGINES }, async (fleet, caller) => {
    for (const engine of fleet.engines) engine.crashTriggerText = CRASHING;
    const send = (index: number, document: string) => {
      const router = fleet.routers[index % fleet.routers.length]!.address;
      const messages = ["be helpful", document, `question ${index}`];
      return caller.chat(
        { customer: CUSTOMER, router },
        `${document} ${index}`,
        messages,
      );
    };
    const countCrashes = () =>
      fleet.engines.filter((engine) => engine.hasCrashed).length;
    let index = 0;
    const sendRound = async () => {
      index += 1;
      await Promise.all([send(index, CRASHING), send(index, "a document")]);
    };
    while (index < CHATS && countCrashes() < KNOWN_CRASHES) await sendRound();
    await delay(SETTLING_MS);
    const known = countCrashes();
    for (let count = 0; count < CHATS; count++) await sendRound();
    const late = countCrashes() - known;
    t.true(late <= MAX_LATE_CRASHES, `${known} crashes, then ${late} more`);
    for (const _router of fleet.routers) {
      index += 1;
      const refused = await send(index, CRASHING);
      t.is(refused.kind, "prompt_crashes_upstreams");
      t.is(refused.ran, "no");
      await waitUntil(
        "other chats with the same first message are served",
        async () => (await send(index, "a document")).isComplete,
      );
    }
  });
});
