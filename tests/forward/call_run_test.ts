import { createServer, type IncomingMessage, type Server } from "node:http";
import type { ServerResponse } from "node:http";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import test from "ava";
import { pino } from "pino";
import { platformHeaders } from "../../platform/header_codec.ts";
import { CallRun } from "../../src/forward/call_run.ts";
import type { CallOutcome } from "../../src/forward/call_run_context.ts";
import { CallerAnswer } from "../../src/forward/caller_answer.ts";
import type { RoutedCall } from "../../src/forward/routed_call.ts";
import type { Route } from "../../src/published/configuration_schema.ts";
import type { SentPart } from "../../src/upstreams/prefix_index.ts";
import { Upstream } from "../../src/upstreams/upstream.ts";
import { buildRoute } from "../published/build_published.ts";

const REQUEST_ID = "r-1";

/** What an upstream of a test does with a request. */
type Behaviour = (request: IncomingMessage, response: ServerResponse) => void;

/** What a caller of a test received. */
interface Received {
  status: number;
  headers: Headers;
  body: string;
  /** Whether the answer broke off. */
  isBroken: boolean;
  outcome: CallOutcome;
}

const answered: Behaviour = (_request, response) => {
  response.writeHead(200, proven());
  response.end("done");
};

const silent: Behaviour = () => undefined;

const declined: Behaviour = (_request, response) => {
  response.writeHead(503, { "X-Beechkeel-Not-Executed": "1" }).end();
};

const failed: Behaviour = (_request, response) => {
  response.writeHead(500, proven()).end("no");
};

const cut: Behaviour = (request) => request.socket.resetAndDestroy();

/** Streams some events, then ends or breaks off. */
function streams(ids: readonly number[], rest = "", breaks = false): Behaviour {
  return (_request, response) => {
    response.writeHead(200, {
      ...proven(),
      "Content-Type": "text/event-stream",
    });
    response.write(ids.map((id) => `id: ${id}\ndata: x\n\n`).join("") + rest);
    if (breaks) setTimeout(() => response.socket?.resetAndDestroy(), 20);
    else response.end();
  };
}

function proven(): Record<string, string> {
  return {
    "X-Beechkeel-Attempt-Id": REQUEST_ID,
    "X-Beechkeel-Response-Seal": "proof",
  };
}

function buildCall(
  route: Route,
  sharedParts: readonly SentPart[],
): RoutedCall {
  const rawHeaders = [
    "Host",
    "a.example",
    "X-Beechkeel-Attempt-Id",
    REQUEST_ID,
  ];
  const receivedAt = performance.now();
  return {
    requestId: REQUEST_ID,
    method: "POST",
    path: "/a/b",
    headers: platformHeaders.readCaller(rawHeaders),
    body: Buffer.from("body"),
    route,
    service: "s",
    customer: "c",
    urgency: 0,
    sharedParts,
    receivedAt,
    callerEndsAt: receivedAt + 10_000,
  };
}

async function listen(server: Server): Promise<number> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}

/** Runs one call against upstreams with the given behaviours, tried in this order. */
async function runCall(
  behaviours: readonly Behaviour[],
  changes: Partial<Route> = {},
  onStart: (run: CallRun, route: Route) => void = () => undefined,
  prepare: (upstreams: readonly Upstream[]) => void = () => undefined,
  sharedParts: readonly SentPart[] = [],
): Promise<Received & { requests: IncomingMessage[] }> {
  const requests: IncomingMessage[] = [];
  const servers = behaviours.map((behaviour) =>
    createServer((request, response) => {
      requests.push(request);
      request.resume();
      behaviour(request, response);
    })
  );
  const upstreams: Upstream[] = [];
  for (const server of servers) {
    upstreams.push(createUpstream(upstreams.length, await listen(server)));
  }
  prepare(upstreams);
  const call = buildCall(buildRoute(changes), sharedParts);
  const received = await callThrough(upstreams, call, onStart);
  for (const upstream of upstreams) upstream.close();
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
  return { ...received, requests };
}

function createUpstream(index: number, port: number): Upstream {
  return Upstream.create({
    id: `u-${index}`,
    service: "s",
    address: `127.0.0.1:${port}`,
    hall: "h",
    slots: 4,
    arrival: index,
    isLeaving: false,
  });
}

function createDeferred<T>() {
  let resolve: (value: T) => void = () => undefined;
  const promise = new Promise<T>((done) => resolve = done);
  return { promise, resolve };
}

async function callThrough(
  upstreams: readonly Upstream[],
  call: RoutedCall,
  onStart: (run: CallRun, route: Route) => void,
): Promise<Received> {
  const ended = createDeferred<CallOutcome>();
  const front = createServer((_request, response) => {
    const answer = CallerAnswer.create(response, () => false);
    const run = CallRun.create(call, answer, {
      logger: pino({ level: "silent" }),
      codec: platformHeaders,
      choose: (_call, tried) =>
        upstreams.find((upstream) => !tried.has(upstream.id)),
      placePrompt: () => undefined,
      getLoad: () => 0,
      spendRetry: () => true,
      noteHealth: () => undefined,
      noteMoved: () => undefined,
      onEnd: (_run, outcome) => ended.resolve(outcome),
    });
    onStart(run, call.route);
  });
  const port = await listen(front);
  const response = await fetch(`http://127.0.0.1:${port}/`);
  let isBroken = false;
  const body = await response.text().catch(() => {
    isBroken = true;
    return "";
  });
  const outcome = await ended.promise;
  front.close();
  front.closeAllConnections();
  const { status, headers } = response;
  return { status, headers, body, isBroken, outcome };
}

test("a request that was sent and not answered in time is not called not run", async (t) => {
  const sent = createDeferred<void>();
  const received = await runCall(
    [() => sent.resolve()],
    {
      timeoutMs: 60_000,
      kind: "once",
    },
    (run, route) =>
      void sent.promise.then(() => run.applyRoute({ ...route, timeoutMs: 1 })),
  );
  t.is(received.status, 504);
  t.is(received.requests.length, 1);
});

test("a request that nobody took in time is refused as not run, with a time to come back", async (t) => {
  const received = await runCall([declined], { kind: "once" });
  t.is(received.status, 503);
  t.truthy(received.headers.get("retry-after"));
});

test("a request that may run once is sent on after a refusal that says it was not run", async (t) => {
  const received = await runCall([declined, answered], { kind: "once" });
  t.is(received.status, 200);
  t.is(received.requests.length, 2);
});

test("a request that may run once is not sent again after its connection broke", async (t) => {
  const received = await runCall([cut, answered], { kind: "once" });
  t.is(received.status, 502);
  t.is(received.requests.length, 1);
});

test("a repeatable request is sent again after a failure, up to the route's attempts", async (t) => {
  const received = await runCall([failed, cut, answered], { maxAttempts: 2 });
  t.is(received.status, 502);
  t.is(received.requests.length, 2);
});

test("the last upstream's own failure is passed on unchanged", async (t) => {
  const received = await runCall([cut, failed, answered]);
  t.is(received.status, 500);
  t.is(received.body, "no");
  t.is(received.headers.get("x-beechkeel-response-seal"), "proof");
});

test("a success without a proof is not passed on", async (t) => {
  const received = await runCall([(_request, response) => {
    response.writeHead(200, { "X-Beechkeel-Attempt-Id": REQUEST_ID }).end("x");
  }], { kind: "once" });
  t.is(received.status, 502);
});

test("a resumable stream goes on at another upstream after its last whole event", async (t) => {
  const received = await runCall(
    [streams([1, 2], "id: 3\nda", true), streams([3, 4])],
    { kind: "stream", isResumable: true },
  );
  t.is(
    received.body,
    [1, 2, 3, 4].map((id) => `id: ${id}\ndata: x\n\n`).join(""),
  );
  t.is(received.requests[1]!.headers["last-event-id"], "2");
});

test("a stream that may not be resumed breaks off visibly and is not sent again", async (t) => {
  const received = await runCall(
    [streams([1, 2], "", true), streams([3])],
    { kind: "stream", isResumable: false },
  );
  t.true(received.isBroken);
  t.is(received.requests.length, 1);
});

test("a stream that ends within an event is not whole", async (t) => {
  const received = await runCall(
    [streams([1], "id: 2\nda")],
    { kind: "stream", isResumable: false },
  );
  t.true(received.isBroken);
});

test("a repeatable request goes elsewhere when its upstream is silent", async (t) => {
  const received = await runCall([silent, answered], { objectiveMs: 60 });
  t.is(received.status, 200);
  t.is(received.outcome.attempts, 2);
});

test("a repeatable request whose answer is lost goes elsewhere though its upstream answers others", async (t) => {
  const received = await runCall(
    [silent, answered],
    { objectiveMs: 100 },
    undefined,
    ([first]) => first!.heardAt = Infinity,
  );
  t.is(received.status, 200);
  t.is(received.outcome.attempts, 2);
});

test("an overdue request whose prompt is dear to read again waits on", async (t) => {
  const slow: Behaviour = (_request, response) =>
    void setTimeout(() => {
      response.writeHead(200, proven());
      response.end("late");
    }, 90);
  const received = await runCall(
    [slow, answered],
    { objectiveMs: 100 },
    undefined,
    ([first]) => first!.heardAt = Infinity,
    [{ name: 1, tokens: 10_000 }],
  );
  t.is(received.body, "late");
  t.is(received.outcome.attempts, 1);
});

test("a request that may run once waits for a silent upstream", async (t) => {
  const slow: Behaviour = (_request, response) =>
    void setTimeout(() => {
      response.writeHead(200, proven());
      response.end("late");
    }, 200);
  const received = await runCall([slow, answered], {
    kind: "once",
    objectiveMs: 20,
  });
  t.is(received.body, "late");
  t.is(received.requests.length, 1);
});

test("a resumable stream that stalls goes on elsewhere", async (t) => {
  const stalls: Behaviour = (_request, response) => {
    response.writeHead(200, {
      ...proven(),
      "Content-Type": "text/event-stream",
    });
    response.write("id: 1\ndata: x\n\n");
  };
  const received = await runCall([stalls, streams([2])], {
    kind: "stream",
    isResumable: true,
    gapObjectiveMs: 40,
  });
  t.is(received.body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
});
