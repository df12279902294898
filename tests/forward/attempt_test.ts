import { createServer, type Server, type Socket } from "node:net";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import test from "ava";
import { platformHeaderCodec } from "../../platform/header_codec.ts";
import { Attempt } from "../../src/forward/attempt.ts";
import type { ResponseHeaders } from "../../src/forward/caller_headers.ts";
import { ConnectionLiveness } from "../../src/paths/connection_liveness.ts";
import { trustsIdleConnections } from "../../src/upstreams/trusts_idle_connections.ts";
import { Upstream } from "../../src/upstreams/upstream.ts";
import { createDeferred } from "./forward_call.ts";

const CONTEXT = {
  codec: platformHeaderCodec,
  isRunning: () => Promise.resolve(true),
  maySendTo: (upstream: Upstream) =>
    upstream.acceptsRequests(performance.now()),
  recordSlowdown: () => undefined,
  recordConnectionResponse: () => undefined,
  trustsIdleConnections: ({ lastReceivedAt }: Upstream) =>
    trustsIdleConnections({
      lastReceivedAt,
      liveness: ConnectionLiveness.create(),
      isLargeFleet: false,
      now: performance.now(),
    }),
};
const REQUEST_ID = "r-1";
const REQUEST = {
  method: "GET",
  path: "/a/",
  headers: ["Host", "a.example"],
  body: undefined,
  requestId: REQUEST_ID,
  mayRunAgain: true,
  continuesStream: false,
};

/** How an attempt ended. */
type AttemptResult =
  | { type: "complete"; body: string }
  | { type: "failed"; failure: string; detail: string };

/** Starts a TCP server that calls a function for the first bytes of each connection. */
async function serveRaw(respond: (socket: Socket) => void): Promise<Server> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => respond(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return server;
}

function sendAttempt(
  upstream: Upstream,
  mayRunAgain = true,
): Promise<AttemptResult> {
  const request = { ...REQUEST, mayRunAgain };
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    Attempt.create(upstream, request, CONTEXT, {
      onHead: () => undefined,
      onBytes: (bytes) => parts.push(bytes),
      onEnd: () =>
        resolve({ type: "complete", body: Buffer.concat(parts).toString() }),
      onFailure: (failure, detail) =>
        resolve({ type: "failed", failure, detail }),
      onLateDecline: () => undefined,
    });
  });
}

function createUpstream(port: number): Upstream {
  return Upstream.create({
    id: "u-1",
    service: "s",
    address: `127.0.0.1:${port}`,
    hall: "h",
    slots: 4,
    arrival: 1,
    isLeaving: false,
  });
}

async function sendAttemptTo(
  respond: (socket: Socket) => void,
): Promise<AttemptResult> {
  const server = await serveRaw(respond);
  const upstream = createUpstream((server.address() as AddressInfo).port);
  try {
    return await sendAttempt(upstream);
  } finally {
    upstream.close();
    server.close();
  }
}

const RESPONSE_HEAD =
  `HTTP/1.1 200 OK\r\nX-Beechkeel-Attempt-Id: ${REQUEST_ID}\r\n`;

test("a response without a content length is complete when its connection is closed", async (t) => {
  const result = await sendAttemptTo((socket) =>
    socket.end(`${RESPONSE_HEAD}Connection: close\r\n\r\nall of it`)
  );
  t.deepEqual(result, { type: "complete", body: "all of it" });
});

test("a response without a content length is incomplete when its connection is reset", async (t) => {
  const result = await sendAttemptTo((socket) =>
    socket.write(
      `${RESPONSE_HEAD}Connection: close\r\n\r\nhalf of it`,
      () => setTimeout(() => socket.resetAndDestroy(), 20),
    )
  );
  t.is(result.type, "failed");
});

test("a response without a content length is incomplete when the reset arrives together with its last bytes", async (t) => {
  const result = await sendAttemptTo((socket) =>
    socket.write(
      `${RESPONSE_HEAD}Connection: close\r\n\r\nhalf of it`,
      () => socket.resetAndDestroy(),
    )
  );
  t.is(result.type, "failed");
});

test("a response shorter than its content length is incomplete", async (t) => {
  const result = await sendAttemptTo((socket) =>
    socket.end(`${RESPONSE_HEAD}Content-Length: 20\r\n\r\nhalf`)
  );
  t.is(result.type, "failed");
});

test("a response to another request is rejected", async (t) => {
  const result = await sendAttemptTo((socket) =>
    socket.end(
      "HTTP/1.1 200 OK\r\nX-Beechkeel-Attempt-Id: r-0\r\nContent-Length: 2\r\n\r\nno",
    )
  );
  t.is(result.type, "failed");
  t.regex(
    result.type === "failed" ? result.detail : "",
    /another request r-0/,
  );
});

test("a refused connection is reported as not sent", async (t) => {
  const server = await serveRaw(() => undefined);
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  const result = await sendAttempt(createUpstream(port));
  t.is(result.type === "failed" && result.failure, "not_sent");
});

const DECLINE_HEAD = "HTTP/1.1 503 Service Unavailable\r\n" +
  `X-Beechkeel-Attempt-Id: ${REQUEST_ID}\r\nX-Beechkeel-Not-Executed: 1\r\n`;

/** How an abandoned attempt ended: with a late decline or with the close of its connection. */
type AbandonedResult =
  | { type: "declined"; status: number; headers: ResponseHeaders }
  | { type: "closed" };

/** Sends a request, abandons the attempt once the upstream has received it, and sends the response afterwards. */
async function abandonAttempt(
  response: string,
): Promise<{ upstream: Upstream; result: AbandonedResult; calls: string[] }> {
  const calls: string[] = [];
  const { promise, resolve } = createDeferred<AbandonedResult>();
  const server = await serveRaw((socket) => {
    socket.once("close", () => resolve({ type: "closed" }));
    attempt.abandon();
    setImmediate(() => socket.write(response));
  });
  const upstream = createUpstream((server.address() as AddressInfo).port);
  const attempt = Attempt.create(upstream, REQUEST, CONTEXT, {
    onHead: () => calls.push("head"),
    onBytes: () => calls.push("bytes"),
    onEnd: () => calls.push("end"),
    onFailure: () => calls.push("failure"),
    onLateDecline: (status, headers) =>
      resolve({ type: "declined", status, headers }),
  });
  const result = await promise;
  upstream.close();
  server.close();
  return { upstream, result, calls };
}

// Guards against losing a backoff: when a caller disconnected, the connection to the upstream was closed before its
// decline arrived, so the next requests were sent to that upstream.
test("an abandoned attempt still records the backoff of a late decline", async (t) => {
  const { upstream, result, calls } = await abandonAttempt(
    `${DECLINE_HEAD}Retry-After: 5\r\nContent-Length: 0\r\n\r\n`,
  );
  t.is(result.type === "declined" && result.status, 503);
  t.false(upstream.availability.acceptsRequests(performance.now()));
  t.is(upstream.ownRequests, 0);
  t.deepEqual(calls, []);
});

test("an abandoned attempt still records that its upstream is leaving", async (t) => {
  const { upstream, result } = await abandonAttempt(
    `${DECLINE_HEAD}Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n`,
  );
  t.is(result.type, "declined");
  t.true(upstream.isLeaving);
});

test("an abandoned attempt closes its connection once its response begins", async (t) => {
  const { upstream, result, calls } = await abandonAttempt(
    `${RESPONSE_HEAD}Content-Length: 100\r\n\r\nhalf`,
  );
  t.is(result.type, "closed");
  t.is(upstream.ownRequests, 0);
  t.deepEqual(calls, []);
});

test("an abandoned attempt closes its connection if no response arrives", async (t) => {
  const { result, calls } = await abandonAttempt("");
  t.is(result.type, "closed");
  t.deepEqual(calls, []);
});

test("a request that may run once is not sent on an idle connection of an upstream that was not heard lately", async (t) => {
  let connections = 0;
  // Only the first request of a connection is answered.
  const server = await serveRaw((socket) => {
    connections += 1;
    socket.write(`${RESPONSE_HEAD}Content-Length: 2\r\n\r\nok`);
  });
  const upstream = createUpstream((server.address() as AddressInfo).port);
  t.is((await sendAttempt(upstream, false)).type, "complete");
  upstream.lastReceivedAt = -Infinity;
  t.is((await sendAttempt(upstream, false)).type, "complete");
  t.is(connections, 2);
  upstream.close();
  server.close();
});
