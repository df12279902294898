import { EventEmitter, once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { pino } from "pino";
import { Failure } from "../../src/errors/failure.ts";
import { BodyReader } from "../../src/http/body_reader.ts";
import { CallerConnections } from "../../src/http/caller_connections.ts";
import { keepReadingBody } from "../../src/http/keep_reading_body.ts";
import { freezeProcess, RawCaller } from "./raw_caller.ts";

/** Time within which a head or a body must arrive, in milliseconds. */
const TIMEOUT_MS = 200;
/** The same where the process is made late, so that only the simulated freeze exceeds it. */
const LONG_TIMEOUT_MS = 1_500;
const CHECK_INTERVAL_MS = 50;
const MAX_BODY_BYTES = 1_000;

/** A server that runs requests and responds when it is told to. */
interface RunningServer {
  port: number;
  /** Paths of the requests that were run, in order. */
  ran: string[];
  /** Resolves once the server has logged an event. */
  waitForLog: (event: string) => Promise<void>;
  /** Completes the responses to all requests whose path begins with `/held`. */
  release: () => void;
}

/** Creates a logger whose events can be waited for. */
function createObservedLogger() {
  const written = new EventEmitter();
  let text = "";
  const logger = pino({}, {
    write: (line: string) => {
      text += line;
      written.emit("line");
    },
  });
  const waitForLog = async (event: string): Promise<void> => {
    while (!text.includes(`"msg":"${event}"`)) await once(written, "line");
  };
  return { logger, waitForLog };
}

async function withServer(
  body: (server: RunningServer) => Promise<void>,
  timeoutMs = TIMEOUT_MS,
): Promise<void> {
  const server = createServer({
    headersTimeout: timeoutMs,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
    requestTimeout: 0,
  });
  const ran: string[] = [];
  const { logger, waitForLog } = createObservedLogger();
  const held: ServerResponse[] = [];
  let isReleased = false;
  const respond = (response: ServerResponse) => response.end("done");
  const limits = { maxBytes: MAX_BODY_BYTES, timeoutMs };
  CallerConnections.attach(
    server,
    logger,
    (request, response, receipt) =>
      void BodyReader.read(request, receipt, limits).then(() => {
        ran.push(request.url!);
        if (request.url!.startsWith("/held") && !isReleased) {
          held.push(response);
        } else respond(response);
      }, (error) => {
        if (!(error instanceof Failure)) return;
        keepReadingBody(response);
        response.writeHead(error.status).end();
      }),
  );
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const release = () => {
    isReleased = true;
    held.splice(0).forEach(respond);
  };
  try {
    const { port } = server.address() as AddressInfo;
    await body({ port, ran, waitForLog, release });
  } finally {
    server.close();
    server.closeAllConnections();
  }
}

const head = (path: string, rest = "Host: a\r\n\r\n") =>
  `POST ${path} HTTP/1.1\r\n${rest}`;

// Guards against requests that ran after their caller got a 408 for a late head.
test.serial("a request whose late head was refused with 408 is not run when the rest arrives", async (t) => {
  await withServer(async ({ port, ran, waitForLog }) => {
    const caller = await RawCaller.create(port, false);
    caller.write("POST /late HTTP/1.1\r\nHost: a\r\n");
    await caller.waitForResponses(1);
    caller.write("\r\n");
    caller.write(head("/next"));
    await caller.waitForEnd();
    await waitForLog("request_dropped");
    caller.close();
    t.deepEqual(caller.statuses, [408]);
    t.deepEqual(ran, []);
  });
});

// Guards against requests that ran after their caller got a 408 for a late body.
test.serial("a request whose late body was refused with 408 is not run when the rest arrives", async (t) => {
  await withServer(async ({ port, ran }) => {
    const caller = await RawCaller.create(port);
    caller.write(head("/late", "Host: a\r\nContent-Length: 4\r\n\r\nab"));
    await caller.waitForResponses(1);
    caller.write("cd");
    caller.write(head("/next"));
    await caller.waitForResponses(2);
    caller.close();
    t.deepEqual(caller.statuses, [408, 200]);
    t.deepEqual(ran, ["/next"]);
  });
});

// Guards against a 408 for a late head that took the place of the response to the request before it.
test.serial("a response under way is delivered whole before a late head that follows it is refused", async (t) => {
  await withServer(async ({ port, ran, waitForLog, release }) => {
    const caller = await RawCaller.create(port, false);
    caller.write(head("/held") + "POST /late HTTP/1.1\r\nHo");
    await waitForLog("request_malformed");
    caller.write("st: a\r\n\r\n");
    await waitForLog("request_dropped");
    release();
    await caller.waitForEnd();
    caller.close();
    t.deepEqual(caller.statuses, [200, 408]);
    t.deepEqual(ran, ["/held"]);
  });
});

// Guards against a 400 for malformed bytes that took the place of the response to the request before it.
for (
  const [name, bytes, kind] of [
    ["malformed bytes", "no request\r\n\r\n", "malformed_request"],
    ["a CONNECT request", "CONNECT a:1 HTTP/1.1\r\n\r\n", "malformed_request"],
    [
      "too large a head",
      `POST / HTTP/1.1\r\nA: ${"a".repeat(20_000)}\r\n\r\n`,
      "headers_too_large",
    ],
  ] as const
) {
  test.serial(`a response under way is delivered whole before ${name} that follow it are refused`, async (t) => {
    await withServer(async ({ port, ran, waitForLog, release }) => {
      const caller = await RawCaller.create(port, false);
      caller.write(head("/held-1") + head("/held-2") + bytes);
      await waitForLog("request_malformed");
      t.deepEqual(caller.statuses, []);
      release();
      await caller.waitForEnd();
      caller.close();
      t.deepEqual(caller.statuses.slice(0, 2), [200, 200]);
      t.is(caller.statuses.length, 3);
      t.true(caller.received.includes(kind));
      t.deepEqual(ran, ["/held-1", "/held-2"]);
    });
  });
}

test.serial("a request with a malformed chunk is refused once and not run", async (t) => {
  await withServer(async ({ port, ran }) => {
    const caller = await RawCaller.create(port, false);
    caller.write(
      head("/broken", "Host: a\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n"),
    );
    await caller.waitForEnd();
    caller.close();
    t.deepEqual(caller.statuses, [400]);
    t.deepEqual(ran, []);
  });
});

test.serial("a refused body with a malformed chunk gets no second response", async (t) => {
  await withServer(async ({ port, ran }) => {
    const caller = await RawCaller.create(port, false);
    caller.write(
      head("/large", "Host: a\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n") +
        "a".repeat(2_000),
    );
    await caller.waitForResponses(1);
    caller.write("\r\nx\r\n");
    await caller.waitForEnd();
    caller.close();
    t.deepEqual(caller.statuses, [413]);
    t.deepEqual(ran, []);
  });
});

// Guards against a reset that destroys a refusal on its way to a caller that is still sending.
test.serial("a refusal reaches a caller that asks for a close and is still sending the body", async (t) => {
  await withServer(async ({ port }) => {
    const caller = await RawCaller.create(port, false);
    const length = 8_000_000;
    caller.write(
      head("/l", `Host: a\r\nConnection: close\r\nContent-Length: ${length}`) +
        "\r\n\r\n",
    );
    for (let sent = 0; sent < length; sent += 100_000) {
      caller.write("a".repeat(100_000));
      await delay(1);
    }
    await caller.waitForResponses(1);
    await delay(20);
    t.deepEqual(caller.statuses, [413]);
    t.false(caller.wasReset);
    caller.close();
  });
});

// Guards against a process that was frozen and refuses requests that had arrived meanwhile.
test.serial("a head and a body that arrived while the process was late are served", async (t) => {
  await withServer(async ({ port, ran }) => {
    const [first, second] = [
      await RawCaller.create(port),
      await RawCaller.create(port),
    ];
    first.write("POST /head HTTP/1.1\r\nHo");
    second.write(head("/body", "Host: a\r\nContent-Length: 2\r\n\r\na"));
    await delay(50);
    await freezeProcess(LONG_TIMEOUT_MS + 4 * CHECK_INTERVAL_MS, () => {
      first.write("st: a\r\n\r\n");
      second.write("b");
    });
    await Promise.all([first.waitForResponses(1), second.waitForResponses(1)]);
    t.deepEqual([first.statuses, second.statuses], [[200], [200]]);
    t.deepEqual([...ran].sort(), ["/body", "/head"]);
    first.close();
    second.close();
  }, LONG_TIMEOUT_MS);
});

test.serial("a connection without a request is not refused when the time for heads ends", async (t) => {
  await withServer(async ({ port, ran }) => {
    const caller = await RawCaller.create(port);
    await delay(TIMEOUT_MS + 3 * CHECK_INTERVAL_MS);
    caller.write(head("/first"));
    await caller.waitForResponses(1);
    caller.close();
    t.deepEqual(caller.statuses, [200]);
    t.deepEqual(ran, ["/first"]);
  });
});

test.serial("a request that arrives at the idle timeout of a late process is served", async (t) => {
  const server = createServer({
    keepAliveTimeout: LONG_TIMEOUT_MS,
    requestTimeout: 0,
  });
  CallerConnections.attach(
    server,
    pino({ level: "silent" }),
    (_request, response) => response.end("done"),
  );
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const caller = await RawCaller.create(port);
  caller.write(head("/first"));
  await caller.waitForResponses(1);
  await delay(20);
  await freezeProcess(
    2 * LONG_TIMEOUT_MS,
    () => caller.write(head("/second")),
  );
  await caller.waitForResponses(2);
  t.deepEqual(caller.statuses, [200, 200]);
  caller.close();
  server.close();
  server.closeAllConnections();
});
