/** Guards against chats that a stopping router takes although it can't finish them before its stop ends, against chats
 * that it refuses although it could, and against requests that the end of a stop cuts without an answer. */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import type { ReceivedResponse } from "../../tools/caller.ts";
import type { RouterProcess } from "../../tools/router_process.ts";
import { RawCaller } from "../http/raw_caller.ts";
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

/** Sends chats until a number of them are complete, so that the router knows how long they take.
 * @param count The number.
 * @param send Sends a chat.
 * @param atOnce Number of chats that are sent at once; all by default. */
async function completeChats(
  count: number,
  send: () => Promise<ReceivedResponse>,
  atOnce = count,
): Promise<void> {
  let completed = 0;
  while (completed < count) {
    const length = Math.min(atOnce, count - completed);
    const missing = Array.from({ length }, send);
    const received = await Promise.all(missing);
    completed += received.filter(({ isComplete }) => isComplete).length;
  }
}

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
    await completeChats(KNOWN_CHATS, () => send(CHAT_TOKENS));
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

/** Time after the signal at which chats become longer, and from which requests count as late, in milliseconds. */
const SLOWDOWN_AFTER_MS = 1_500;
const LATE_AFTER_MS = 2_000;
const SLOWDOWN_FACTOR = 4;

// Guards against late chats that fit by the durations before the stop.
test.serial("a stopping router cuts no chat that came late when chats become longer during the stop", async (t) => {
  const settings = {
    locate: { lifetimeMs: STOP_LIMIT_MS },
    drain: { limitMs: STOP_LIMIT_MS },
  };
  const engine = { tokenMs: TOKEN_MS / 4 };
  await withFleet({ routers: 2, settings, engine }, async (fleet, caller) => {
    const [stopping] = fleet.routers;
    const options = { customer: CUSTOMER, router: stopping!.address };
    let chats = 0;
    const send = (tokens: number) => {
      chats += 1;
      return caller.chat(options, `c-${chats}`, [`text ${chats}`], tokens);
    };
    await completeChats(KNOWN_CHATS, () => send(CHAT_TOKENS));
    const endless = send(ENDLESS_TOKENS * 4);
    await delay(PAUSE_MS);
    stopping!.signal("SIGTERM");
    const signaledAt = performance.now();
    const exited = stopping!.waitForExit().then(() => true);
    const late: ReturnType<typeof send>[] = [];
    while (!await Promise.race([exited, delay(PAUSE_MS, false)])) {
      const elapsedMs = performance.now() - signaledAt;
      if (elapsedMs < SLOWDOWN_AFTER_MS) continue;
      for (const each of fleet.engines) each.slowdownFactor = SLOWDOWN_FACTOR;
      if (elapsedMs >= LATE_AFTER_MS) late.push(send(CHAT_TOKENS));
    }
    await endless;
    const answered = (await Promise.all(late)).filter((received) =>
      received.kind !== "ECONNREFUSED"
    );
    t.true(answered.length > 0);
    t.deepEqual(
      answered.filter(({ isComplete, kind }) =>
        !isComplete && kind !== "draining"
      ),
      [],
    );
  });
});

const SHORT_TOKENS = 5;
const LONG_TOKENS = 90;
const SHORT_CHATS = 24;
const LONG_CHATS = 6;
const SHORT_CHATS_AT_ONCE = 2;
/** Time for which short chats are sent after the signal, in milliseconds. */
const SHORT_CHATS_MS = 1_000;

// Guards against an estimate for all chats of a model that is longer than the stop.
test.serial("a stopping router takes short chats whose model also has long ones", async (t) => {
  const settings = {
    locate: { lifetimeMs: LIFETIME_MS },
    drain: { limitMs: STOP_LIMIT_MS },
  };
  const engine = { tokenMs: TOKEN_MS };
  await withFleet({ routers: 2, settings, engine }, async (fleet, caller) => {
    const [stopping] = fleet.routers;
    const options = { customer: CUSTOMER, router: stopping!.address };
    let chats = 0;
    const send = (tokens: number) => {
      chats += 1;
      return caller.chat(options, `c-${chats}`, [`text ${chats}`], tokens);
    };
    await completeChats(LONG_CHATS, () => send(LONG_TOKENS));
    // Short chats that wait for each other would not be short.
    await completeChats(
      SHORT_CHATS,
      () => send(SHORT_TOKENS),
      SHORT_CHATS_AT_ONCE,
    );
    const endless = send(ENDLESS_TOKENS);
    await delay(PAUSE_MS);
    stopping!.signal("SIGTERM");
    const sent: ReturnType<typeof send>[] = [];
    for (let sentMs = 0; sentMs < SHORT_CHATS_MS; sentMs += PAUSE_MS) {
      sent.push(send(SHORT_TOKENS));
      await delay(PAUSE_MS);
    }
    const received = await Promise.all(sent);
    t.deepEqual(received.filter(({ isComplete }) => !isComplete), []);
    await endless;
  });
});

const CHAT_PATH = "/v1/chat/completions";

/** Opens a connection and sends a chat that outlasts the stop.
 * @param router The router.
 * @param stream Whether its response is streamed.
 * @param missingBytes Number of bytes of its body that aren't sent. */
async function sendEndlessChat(
  router: RouterProcess,
  stream: boolean,
  missingBytes = 0,
): Promise<RawCaller> {
  const body = JSON.stringify({
    model: "m1",
    stream,
    max_tokens: ENDLESS_TOKENS,
    messages: [{ role: "user", content: `text ${stream}` }],
  });
  const caller = await RawCaller.create(router.httpPort);
  caller.write(
    `POST ${CHAT_PATH} HTTP/1.1\r\nHost: r\r\nX-Beechkeel-Customer: ${CUSTOMER}\r\n` +
      `Content-Length: ${body.length}\r\n\r\n` +
      body.slice(0, body.length - missingBytes),
  );
  return caller;
}

// Guards against connections that close without an answer.
test.serial("a router whose stop ends answers each request that is still open", async (t) => {
  const settings = {
    locate: { lifetimeMs: PAUSE_MS },
    drain: { limitMs: STOP_LIMIT_MS },
    routing: { stallTimeoutMs: 4 * STOP_LIMIT_MS },
  };
  const engine = { tokenMs: TOKEN_MS };
  const service = { callMs: 2 * STOP_LIMIT_MS };
  await withFleet(
    { routers: 2, settings, engine, service },
    async (fleet, caller) => {
      const [stopping] = fleet.routers;
      const streamed = await sendEndlessChat(stopping!, true);
      const buffered = await sendEndlessChat(stopping!, false);
      const slow = await sendEndlessChat(stopping!, false, 1);
      const options = { customer: CUSTOMER, router: stopping!.address };
      const booked = caller.book(options, "{}");
      await streamed.waitForResponses(1);
      stopping!.signal("SIGTERM");
      await stopping!.waitForExit();
      await Promise.all(
        [streamed, buffered, slow].map((each) => each.waitForEnd()),
      );
      t.regex(streamed.received, /event: error\ndata: .*stream_broken/);
      t.false(streamed.received.includes("[DONE]"));
      t.deepEqual(buffered.statuses, [502]);
      t.regex(buffered.received, /x-beechkeel-error: upstream_failed/i);
      t.deepEqual(slow.statuses, [503]);
      t.regex(slow.received, /x-beechkeel-error: draining/i);
      t.regex(slow.received, /retry-after: 0\r/i);
      t.like(await booked, { kind: "outcome_unknown", ran: "unknown" });
      const ends = stopping!.logLines.filter((line) =>
        line.includes("event=request_cut")
      ).map((line) => / end=(\w+)/.exec(line)?.[1]);
      t.deepEqual(ends.sort(), ["cut", "failed", "failed", "refused"]);
    },
  );
});
