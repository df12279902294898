import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { stopListening } from "../../src/http/stop_listening.ts";
import { ClosingServer, type Responder } from "./closing_server.ts";
import { RawCaller } from "./raw_caller.ts";

/** Time limit that is not reached unless a connection stays open, in milliseconds. */
const LONG_LIMIT_MS = 60_000;
/** Time limit that a connection exceeds, in milliseconds. */
const SHORT_LIMIT_MS = 300;
/** Size of a body that neither the kernel nor the caller can buffer. */
const LARGE_BYTES = 24_000_000;
/** Size of a body that the kernel takes although its caller does not read it. */
const BUFFERED_BYTES = 400_000;

const request = (path: string) =>
  `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n`;

const respondLarge: Responder = (_request, response) =>
  response.end(Buffer.alloc(LARGE_BYTES, "a"));
const respondSmall: Responder = (_request, response) => response.end("done");

/** Number of bytes of bodies that consist of the letter a, as they were sent. */
const countBody = (caller: RawCaller) =>
  caller.received.length - caller.received.replaceAll("aaaaaaaa", "").length;

test("a response that is not sent yet when the process stops reaches its caller whole", async (t) => {
  const { closing, closer, port } = await ClosingServer.create(respondLarge);
  const caller = await RawCaller.create(port);
  caller.pause();
  caller.write(request("/large"));
  await closing.waitForRuns(1);
  const closed = closer.close({ limitMs: LONG_LIMIT_MS });
  await delay(100);
  caller.resume();
  await Promise.all([caller.waitForEnd(), closed]);
  t.is(countBody(caller), LARGE_BYTES);
  t.false(caller.wasReset);
  t.deepEqual(closing.findLines("connection_cut"), []);
  closing.close();
});

// Guards against a close that becomes a reset because a request lies unread, and destroys the response before it.
test("a response reaches its caller whole although the next request lies unread when the process stops", async (t) => {
  const { closing, closer, port } = await ClosingServer.create(respondLarge);
  const caller = await RawCaller.create(port);
  caller.pause();
  caller.write(request("/large"));
  await closing.waitForRuns(1);
  caller.write(request("/next"));
  const closed = closer.close({ limitMs: LONG_LIMIT_MS });
  await delay(100);
  caller.resume();
  await Promise.all([caller.waitForEnd(), closed]);
  t.is(countBody(caller), LARGE_BYTES);
  t.deepEqual(caller.statuses, [200, 503]);
  t.false(caller.wasReset);
  t.deepEqual(closing.ran, ["/large"]);
  closing.close();
});

// Guards against the same reset after any response that announces the close, also without a stop.
for (
  const [name, text] of [
    ["the next request lies unread", request("/next")],
    ["malformed bytes follow", "no request\r\n\r\n"],
  ] as const
) {
  test(`a response that closes its connection reaches its caller whole although ${name}`, async (t) => {
    const sendNext = () => caller.write(text);
    const { closing, port } = await ClosingServer.create(
      (_request, response) => {
        response.once("finish", sendNext);
        response.writeHead(200, { connection: "close" });
        response.end(Buffer.alloc(BUFFERED_BYTES, "a"));
      },
    );
    const caller = await RawCaller.create(port);
    caller.pause();
    const requested = once(closing.server, "request");
    caller.write(request("/first"));
    const [{ socket }] = await requested;
    if (!socket.writableFinished) await once(socket, "finish");
    await delay(50);
    caller.write(text);
    await delay(50);
    caller.resume();
    await caller.waitForEnd();
    t.is(countBody(caller), BUFFERED_BYTES);
    t.false(caller.wasReset);
    t.deepEqual(closing.ran, ["/first"]);
    caller.close();
    closing.close();
  });
}

test("a request that arrives while connections are closed is refused as not run", async (t) => {
  const { closing, closer, port } = await ClosingServer.create(respondSmall);
  const [kept, fresh, partial] = [
    await RawCaller.create(port),
    await RawCaller.create(port),
    await RawCaller.create(port),
  ];
  kept.write(request("/first"));
  await kept.waitForResponses(1);
  const closed = closer.close({ limitMs: LONG_LIMIT_MS, retryAfterMs: 0 });
  kept.write(request("/kept"));
  fresh.write(request("/fresh"));
  partial.write("POST /partial HTTP/1.1\r\nHo");
  const callers = [kept, fresh, partial];
  await Promise.all([closed, ...callers.map((each) => each.waitForEnd())]);
  t.deepEqual(callers.map(({ statuses }) => statuses), [
    [200, 503],
    [503],
    [503],
  ]);
  for (const { received, wasReset } of callers) {
    t.false(wasReset);
    t.true(received.includes("x-beechkeel-error: draining"));
    t.true(received.includes("x-beechkeel-ran: no"));
    t.true(received.includes("retry-after: 0\r\n"));
    t.true(received.includes("connection: close"));
  }
  t.deepEqual(closing.ran, ["/first"]);
  closing.close();
});

test("a connection that is not taken over yet when the process stops is not reset", async (t) => {
  const { closing, closer, port } = await ClosingServer.create(respondSmall);
  const opening = RawCaller.create(port);
  // The kernel has accepted the connection, the server has not.
  const closed = closer.close({ limitMs: LONG_LIMIT_MS });
  const caller = await opening;
  caller.write(request("/"));
  await Promise.all([closed, caller.waitForEnd()]);
  t.false(caller.wasReset);
  t.deepEqual(caller.statuses, [503]);
  closing.close();
});

// Guards against the close of Node's server, which destroys a connection whose response has ended but is not sent.
test("a server that stops to listen sends the responses that have ended", async (t) => {
  const { closing, port } = await ClosingServer.create(respondLarge);
  const caller = await RawCaller.create(port, false);
  caller.pause();
  caller.write(request("/large"));
  await closing.waitForRuns(1);
  stopListening(closing.server);
  caller.resume();
  while (
    caller.received.length < LARGE_BYTES && !caller.wasEnded && !caller.wasReset
  ) {
    await delay(20);
  }
  t.false(caller.wasEnded);
  t.false(caller.wasReset);
  caller.close();
  closing.close();
});

test("a response under way when connections are closed is completed before its connection is", async (t) => {
  const held: ServerResponse[] = [];
  const { closing, closer, port } = await ClosingServer.create(
    (_request, response) => {
      response.write("begun ");
      held.push(response);
    },
  );
  const caller = await RawCaller.create(port);
  caller.write(request("/held"));
  await caller.waitForResponses(1);
  const closed = closer.close({ limitMs: LONG_LIMIT_MS });
  await delay(200);
  held[0]!.end("complete");
  await Promise.all([caller.waitForEnd(), closed]);
  t.true(caller.received.endsWith("complete\r\n0\r\n\r\n"));
  t.false(caller.wasReset);
  closing.close();
});

test("a response that its caller does not read by the end of the stop is cut, and logged with its bytes", async (t) => {
  const { closing, closer, port } = await ClosingServer.create(respondLarge);
  const caller = await RawCaller.create(port);
  caller.pause();
  caller.write(request("/large"));
  await closing.waitForRuns(1);
  await closer.close({ limitMs: SHORT_LIMIT_MS });
  const [line] = closing.findLines("connection_cut");
  t.true(line!.unsentBytes! > 0);
  t.is(line!.unanswered, 1);
  caller.close();
  closing.close();
});

test("a caller that never closes its connection does not hold up the end of the stop", async (t) => {
  const { closing, closer, port } = await ClosingServer.create(respondSmall);
  const caller = await RawCaller.create(port, false);
  caller.write(request("/first"));
  await caller.waitForResponses(1);
  await closer.close({ limitMs: LONG_LIMIT_MS });
  t.deepEqual(caller.statuses, [200]);
  t.true(caller.wasEnded);
  t.deepEqual(closing.findLines("connection_cut"), []);
  caller.close();
  closing.close();
});

test("malformed bytes after a refused request do not destroy the response before it", async (t) => {
  const { closing, closer, port } = await ClosingServer.create(respondLarge);
  const caller = await RawCaller.create(port);
  caller.pause();
  caller.write(request("/large"));
  await closing.waitForRuns(1);
  const closed = closer.close({ limitMs: LONG_LIMIT_MS });
  caller.write(request("/next"));
  await delay(50);
  caller.write("no request\r\n\r\n".repeat(100));
  await delay(50);
  caller.resume();
  await Promise.all([caller.waitForEnd(), closed]);
  t.is(countBody(caller), LARGE_BYTES);
  t.deepEqual(caller.statuses, [200, 503]);
  t.false(caller.wasReset);
  closing.close();
});
