import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { Attempt, type AttemptOptions } from "../../src/entry/attempt.ts";
import type { ResponseSink } from "../../src/entry/response_sink.ts";
import { SendGrant } from "../../src/entry/send_grant.ts";
import type { Frame } from "../../src/peer/frame_schema.ts";
import type { PeerClient } from "../../src/peer/peer_client.ts";

const EXCHANGE = 1;
const ACCEPT_TIMEOUT_MS = 20;

/** The frames of an owner that sends a complete response. */
const RESPONSE: readonly Frame[] = [
  { type: "head", exchange: EXCHANGE, status: 200, headers: {} },
  {
    type: "chunk",
    exchange: EXCHANGE,
    sequence: 0,
    events: 0,
    bytes: Buffer.from("done"),
  },
  { type: "end", exchange: EXCHANGE, chunks: 1, bytes: 4 },
];

/** Runs an attempt at an owner that the test plays. */
function runAttempt(remainingMs: number) {
  const sent: Frame["type"][] = [];
  const body: string[] = [];
  let deliver: (frame: Frame) => void = () => undefined;
  let onCancel: () => void = () => undefined;
  const client = {
    openExchange: (listener: (frame: Frame) => void) => {
      deliver = listener;
      return EXCHANGE;
    },
    closeExchange: () => undefined,
    send: (frame: Frame) => {
      sent.push(frame.type);
      if (frame.type === "cancel") onCancel();
    },
  } as unknown as PeerClient;
  const sink: ResponseSink = {
    hasStarted: false,
    isClosed: false,
    head: () => undefined,
    chunk: (bytes) => {
      body.push(Buffer.from(bytes).toString());
      return Promise.resolve();
    },
    end: () => undefined,
    fail: () => undefined,
  };
  const outcome = Attempt.run({
    client,
    offer: { type: "offer" } as AttemptOptions["offer"],
    sink,
    grant: SendGrant.create(),
    acceptTimeoutMs: ACCEPT_TIMEOUT_MS,
    remainingMs,
    endSignal: new AbortController().signal,
    stopSignal: new AbortController().signal,
    onEvents: () => undefined,
  });
  return {
    sent,
    body,
    outcome,
    deliver: (frames: readonly Frame[]) =>
      frames.forEach((one) => deliver(one)),
    onCancelled: (action: () => void) => onCancel = action,
  };
}

// Guards against a run whose response nobody would pass on: the owner is told to cancel, and gets no grant.
test("an owner that acknowledges after it was left is not allowed to run the request", async (t) => {
  const { outcome, sent, deliver } = runAttempt(60_000);
  t.is((await outcome).type, "unreachable");
  deliver([
    { type: "accepted", exchange: EXCHANGE, queued: false },
    { type: "claim", exchange: EXCHANGE },
  ]);
  t.deepEqual(sent, ["offer", "cancel"]);
});

test("an owner that has accepted a request is not left because it is silent", async (t) => {
  const { outcome, body, sent, deliver } = runAttempt(60_000);
  deliver([{ type: "accepted", exchange: EXCHANGE, queued: false }]);
  await delay(4 * ACCEPT_TIMEOUT_MS);
  deliver(RESPONSE);
  t.is((await outcome).type, "done");
  t.deepEqual(body, ["done"]);
  t.false(sent.includes("cancel"));
});

test("a response that crosses the cancellation at the deadline reaches the caller", async (t) => {
  const { outcome, body, deliver, onCancelled } = runAttempt(40);
  onCancelled(() => setImmediate(() => deliver(RESPONSE)));
  deliver([{ type: "accepted", exchange: EXCHANGE, queued: false }]);
  t.is((await outcome).type, "done");
  t.deepEqual(body, ["done"]);
});
