import { createServer, type Server, type Socket } from "node:net";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import test from "ava";
import { platformHeaders } from "../../platform/header_codec.ts";
import { Attempt } from "../../src/forward/attempt.ts";
import type { AnswerHeaders } from "../../src/forward/caller_headers.ts";
import { Upstream } from "../../src/upstreams/upstream.ts";
import { createDeferred } from "./run_call.ts";

const REQUEST_ID = "r-1";
const REQUEST = {
  method: "GET",
  path: "/a/",
  headers: ["Host", "a.example"],
  body: undefined,
  requestId: REQUEST_ID,
};

/** What became of an attempt. */
type Ending =
  | { type: "whole"; body: string }
  | { type: "failed"; failure: string; detail: string };

/** Serves raw bytes to whatever is asked. */
async function serveRaw(answer: (socket: Socket) => void): Promise<Server> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => answer(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return server;
}

function attemptAt(upstream: Upstream): Promise<Ending> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    Attempt.create(upstream, REQUEST, platformHeaders, {
      onHead: () => undefined,
      onBytes: (bytes) => parts.push(bytes),
      onEnd: () =>
        resolve({ type: "whole", body: Buffer.concat(parts).toString() }),
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

async function attemptAgainst(
  answer: (socket: Socket) => void,
): Promise<Ending> {
  const server = await serveRaw(answer);
  const upstream = createUpstream((server.address() as AddressInfo).port);
  try {
    return await attemptAt(upstream);
  } finally {
    upstream.close();
    server.close();
  }
}

const HEAD = `HTTP/1.1 200 OK\r\nX-Beechkeel-Attempt-Id: ${REQUEST_ID}\r\n`;

test("an answer without a length that ends with its connection is whole", async (t) => {
  const ending = await attemptAgainst((socket) =>
    socket.end(`${HEAD}Connection: close\r\n\r\nall of it`)
  );
  t.deepEqual(ending, { type: "whole", body: "all of it" });
});

test("an answer without a length whose connection is reset is not whole", async (t) => {
  const ending = await attemptAgainst((socket) =>
    socket.write(
      `${HEAD}Connection: close\r\n\r\nhalf of it`,
      () => setTimeout(() => socket.resetAndDestroy(), 20),
    )
  );
  t.is(ending.type, "failed");
});

test("an answer without a length is not whole where its reset comes together with its last bytes", async (t) => {
  const ending = await attemptAgainst((socket) =>
    socket.write(
      `${HEAD}Connection: close\r\n\r\nhalf of it`,
      () => socket.resetAndDestroy(),
    )
  );
  t.is(ending.type, "failed");
});

test("an answer shorter than its length is not whole", async (t) => {
  const ending = await attemptAgainst((socket) =>
    socket.end(`${HEAD}Content-Length: 20\r\n\r\nhalf`)
  );
  t.is(ending.type, "failed");
});

test("an answer to another request is not taken", async (t) => {
  const ending = await attemptAgainst((socket) =>
    socket.end(
      "HTTP/1.1 200 OK\r\nX-Beechkeel-Attempt-Id: r-0\r\nContent-Length: 2\r\n\r\nno",
    )
  );
  t.is(ending.type, "failed");
  t.regex(
    ending.type === "failed" ? ending.detail : "",
    /another request r-0/,
  );
});

test("a refused connection says that nothing was sent", async (t) => {
  const server = await serveRaw(() => undefined);
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  const ending = await attemptAt(createUpstream(port));
  t.is(ending.type === "failed" && ending.failure, "not_sent");
});

const DECLINE = "HTTP/1.1 503 Service Unavailable\r\n" +
  `X-Beechkeel-Attempt-Id: ${REQUEST_ID}\r\nX-Beechkeel-Not-Executed: 1\r\n`;

/** What an abandoned attempt comes to: a decline that it still hears, or the end of its connection. */
type LateEnding =
  | { type: "declined"; status: number; answer: AnswerHeaders }
  | { type: "closed" };

/** Sends a request, abandons it once the upstream has it, and answers it only then. */
async function abandonAt(
  answer: string,
): Promise<{ upstream: Upstream; ending: LateEnding; told: string[] }> {
  const told: string[] = [];
  const { promise, resolve } = createDeferred<LateEnding>();
  const server = await serveRaw((socket) => {
    socket.once("close", () => resolve({ type: "closed" }));
    attempt.abandon();
    setImmediate(() => socket.write(answer));
  });
  const upstream = createUpstream((server.address() as AddressInfo).port);
  const attempt = Attempt.create(upstream, REQUEST, platformHeaders, {
    onHead: () => told.push("head"),
    onBytes: () => told.push("bytes"),
    onEnd: () => told.push("end"),
    onFailure: () => told.push("failure"),
    onLateDecline: (status, answer) =>
      resolve({ type: "declined", status, answer }),
  });
  const ending = await promise;
  upstream.close();
  server.close();
  return { upstream, ending, told };
}

// A caller that left closed the connection on which the upstream was asking for a backoff, and the next requests went there.
test("an abandoned attempt still records the backoff of a decline", async (t) => {
  const { upstream, ending, told } = await abandonAt(
    `${DECLINE}Retry-After: 5\r\nContent-Length: 0\r\n\r\n`,
  );
  t.is(ending.type === "declined" && ending.status, 503);
  t.false(upstream.availability.takesRequests(performance.now()));
  t.is(upstream.ownRequests, 0);
  t.deepEqual(told, []);
});

test("an abandoned attempt still records that its upstream is leaving", async (t) => {
  const { upstream, ending } = await abandonAt(
    `${DECLINE}Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n`,
  );
  t.is(ending.type, "declined");
  t.true(upstream.isLeaving);
});

test("an abandoned attempt closes its connection once its answer begins", async (t) => {
  const { upstream, ending, told } = await abandonAt(
    `${HEAD}Content-Length: 100\r\n\r\nhalf`,
  );
  t.is(ending.type, "closed");
  t.is(upstream.ownRequests, 0);
  t.deepEqual(told, []);
});

test("an abandoned attempt closes its connection where no answer comes", async (t) => {
  const { ending, told } = await abandonAt("");
  t.is(ending.type, "closed");
  t.deepEqual(told, []);
});
