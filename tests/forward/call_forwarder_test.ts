import test from "ava";
import type { TrackedRequest } from "../../src/crashes/interrupted_request.ts";
import { setTimeout as delay } from "node:timers/promises";
import type { Upstream } from "../../src/upstreams/upstream.ts";
import { createDeferred, forwardCall } from "./forward_call.ts";
import {
  type Behaviour,
  declines,
  failsAfterRun,
  REQUEST_ID,
  resetsConnection,
  respondsOk,
  streams,
  validHeaders,
} from "./upstream_behaviours.ts";

test("a request that was sent and timed out is not reported as not run", async (t) => {
  const sent = createDeferred<void>();
  const received = await forwardCall(
    [() => sent.resolve()],
    {
      timeoutMs: 60_000,
      kind: "once",
    },
    {
      onStart: (forwarder, route) =>
        void sent.promise.then(() =>
          forwarder.applyRoute({ ...route, timeoutMs: 1 })
        ),
    },
  );
  t.is(received.status, 504);
  t.is(received.requests.length, 1);
});

test("a request that all upstreams declined is refused as not run, with a retry time", async (t) => {
  const received = await forwardCall([declines], { kind: "once" });
  t.is(received.status, 503);
  t.truthy(received.headers.get("retry-after"));
});

test("a request that may run once is sent to the next upstream after a decline", async (t) => {
  const received = await forwardCall([declines, respondsOk], { kind: "once" });
  t.is(received.status, 200);
  t.is(received.requests.length, 2);
});

test("a request that may run once is not retried after a broken connection", async (t) => {
  const received = await forwardCall([resetsConnection, respondsOk], {
    kind: "once",
  });
  t.is(received.status, 502);
  t.is(received.requests.length, 1);
});

test("a repeatable request is retried after failures, up to the route's maximum attempts", async (t) => {
  const received = await forwardCall(
    [failsAfterRun, resetsConnection, respondsOk],
    { maxAttempts: 2 },
  );
  t.is(received.status, 502);
  t.is(received.requests.length, 2);
});

test("the error response of the last upstream is forwarded unchanged", async (t) => {
  const received = await forwardCall([
    resetsConnection,
    failsAfterRun,
    respondsOk,
  ]);
  t.is(received.status, 500);
  t.is(received.body, "no");
  t.is(received.headers.get("x-beechkeel-response-seal"), "proof");
});

test("a success response without a seal is not forwarded", async (t) => {
  const received = await forwardCall([(_request, response) => {
    response.writeHead(200, { "X-Beechkeel-Attempt-Id": REQUEST_ID }).end("x");
  }], { kind: "once" });
  t.is(received.status, 502);
});

test("a resumable stream continues at another upstream after its last complete event", async (t) => {
  const received = await forwardCall(
    [streams([1, 2], "id: 3\nda", true), streams([3, 4])],
    { kind: "stream", isResumable: true },
  );
  t.is(
    received.body,
    [1, 2, 3, 4].map((id) => `id: ${id}\ndata: x\n\n`).join(""),
  );
  t.is(received.requests[1]!.headers["last-event-id"], "2");
});

test("a stream that is not resumable is aborted and not retried", async (t) => {
  const received = await forwardCall(
    [streams([1, 2], "", true), streams([3])],
    { kind: "stream", isResumable: false },
  );
  t.true(received.isTruncated);
  t.is(received.requests.length, 1);
});

test("a stream that ends in the middle of an event is aborted", async (t) => {
  const received = await forwardCall(
    [streams([1], "id: 2\nda")],
    { kind: "stream", isResumable: false },
  );
  t.true(received.isTruncated);
});

test("a resumable stream that stalls continues at another upstream", async (t) => {
  const stalls: Behaviour = (_request, response) => {
    response.writeHead(200, {
      ...validHeaders(),
      "Content-Type": "text/event-stream",
    });
    response.write("id: 1\ndata: x\n\n");
  };
  const received = await forwardCall([stalls, streams([2])], {
    kind: "stream",
    isResumable: true,
    gapObjectiveMs: 40,
  });
  t.is(received.body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
});

/** Crash access that allows no retry after the first call that it records. */
function createCrashAccess() {
  const recorded: string[] = [];
  return {
    recorded,
    mayRetry: () => recorded.length === 0,
    recordInterruption: (
      upstream: { id: string },
      _request: TrackedRequest,
      hasPartialResponse: boolean,
    ) => void recorded.push(`${upstream.id} ${hasPartialResponse}`),
    recordCompletion: () => void recorded.push("served"),
  };
}

test("a request that likely crashes upstreams is not retried after a broken connection", async (t) => {
  const crashes = createCrashAccess();
  const received = await forwardCall([resetsConnection, respondsOk], {
    maxAttempts: 3,
  }, {
    crashes,
  });
  t.is(received.status, 502);
  t.is(received.requests.length, 1);
  t.deepEqual(crashes.recorded, ["u-0 false"]);
});

test("a request whose hold has expired is sent once, even if the crash guard allows no retry", async (t) => {
  const received = await forwardCall([respondsOk], {}, {
    crashes: { mayRetry: () => false },
  });
  t.is(received.status, 200);
});

test("a broken stream is recorded with whether events were forwarded, and a complete response as served", async (t) => {
  const crashes = createCrashAccess();
  crashes.mayRetry = () => true;
  await forwardCall(
    [streams([1], "", true), resetsConnection, streams([2])],
    { kind: "stream", isResumable: true, maxAttempts: 3 },
    { crashes },
  );
  t.deepEqual(crashes.recorded, ["u-0 true", "u-1 false", "served"]);
});

test("a request that becomes held while in progress and unanswered is refused at once, but not as not run", async (t) => {
  const arrived = createDeferred<void>();
  const received = await forwardCall([() => arrived.resolve()], {}, {
    onStart: (forwarder) =>
      void arrived.promise.then(() =>
        forwarder.refuseAsHeld("crashes_upstreams")
      ),
  });
  t.is(received.status, 502);
});

test("a request that waits for its connection is not sent if its upstream asks for a backoff meanwhile", async (t) => {
  let first: Upstream | undefined;
  const received = await forwardCall(
    [respondsOk, respondsOk],
    { kind: "once" },
    {
      prepare: ([upstream]) => first = upstream,
      onStart: () =>
        first!.availability.recordNotice(
          { backoffMs: 60_000, isLeaving: false },
          performance.now(),
        ),
    },
  );
  t.is(received.status, 200);
  t.is(received.outcome.attempts, 2);
  t.is(received.requests.length, 1);
});

test("a refusal that does not state that the request was not run is not forwarded as such a promise", async (t) => {
  for (const status of [503, 429, 408]) {
    const received = await forwardCall([(_request, response) => {
      response.writeHead(status, { ...validHeaders(), "Retry-After": "2" })
        .end();
    }], { kind: "once" });
    t.is(received.status, 502);
    t.is(received.headers.get("x-beechkeel-response-seal"), null);
  }
});

test("a refused caller receives the retry time of the upstreams", async (t) => {
  const received = await forwardCall([declines], { kind: "once" }, {
    retryAfterMs: 2_500,
  });
  t.is(received.status, 503);
  t.is(received.headers.get("retry-after"), "2.5");
});

test("the availability reported by another upstream at the same address is not recorded for the intended one", async (t) => {
  let intended: Upstream | undefined;
  const moved: Behaviour = (_request, response) => {
    response.writeHead(421, { "Server-Leaving": "1" }).end();
  };
  await forwardCall([moved, respondsOk], {}, {
    prepare: ([first]) => intended = first,
  });
  t.false(intended!.isLeaving);
});

test("a request without a free slot is sent once another host has lent one", async (t) => {
  const received = await forwardCall([respondsOk], {}, {
    slotLoan: delay(10, true),
  });
  t.is(received.status, 200);
  t.is(received.requests.length, 1);
});

test("a request for which no host lends a slot is refused as not run", async (t) => {
  const received = await forwardCall([respondsOk], {}, {
    slotLoan: delay(10, false),
  });
  t.is(received.status, 503);
  t.is(received.headers.get("x-beechkeel-ran"), "no");
  t.is(received.requests.length, 0);
});

test("a request whose time has passed while it waited for a slot is not sent when one is lent", async (t) => {
  const loan = createDeferred<boolean>();
  const received = await forwardCall([respondsOk], { timeoutMs: 60_000 }, {
    slotLoan: loan.promise,
    onStart: (forwarder, route) =>
      forwarder.applyRoute({ ...route, timeoutMs: 1 }),
  });
  loan.resolve(true);
  await delay(10);
  t.is(received.status, 503);
  t.is(received.requests.length, 0);
});
