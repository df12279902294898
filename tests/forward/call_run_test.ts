import test from "ava";
import type { Upstream } from "../../src/upstreams/upstream.ts";
import { createDeferred, runCall } from "./run_call.ts";
import {
  answered,
  type Behaviour,
  cut,
  declined,
  failed,
  proven,
  REQUEST_ID,
  silent,
  streams,
} from "./upstream_behaviours.ts";

test("a request that was sent and not answered in time is not called not run", async (t) => {
  const sent = createDeferred<void>();
  const received = await runCall(
    [() => sent.resolve()],
    {
      timeoutMs: 60_000,
      kind: "once",
    },
    {
      onStart: (run, route) =>
        void sent.promise.then(() =>
          run.applyRoute({ ...route, timeoutMs: 1 })
        ),
    },
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
    { prepare: ([first]) => first!.heardAt = Infinity },
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
    {
      prepare: ([first]) => first!.heardAt = Infinity,
      sharedParts: [{ name: 1, tokens: 10_000 }],
    },
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

/** Access that takes a request whose connection broke once for one that crashes upstreams, and keeps what it was told. */
function createCrashAccess() {
  const told: string[] = [];
  return {
    told,
    maySendAgain: () => told.length === 0,
    noteBroken: (upstream: { id: string }, _request: number, part: boolean) =>
      void told.push(`${upstream.id} ${part}`),
    noteServed: () => void told.push("served"),
  };
}

test("a request that likely crashes upstreams is not sent to another after its connection broke", async (t) => {
  const crashes = createCrashAccess();
  const received = await runCall([cut, answered], { maxAttempts: 3 }, {
    crashes,
  });
  t.is(received.status, 502);
  t.is(received.requests.length, 1);
  t.deepEqual(crashes.told, ["u-0 false"]);
});

test("a request whose hold is over is sent once, whatever counts against it", async (t) => {
  const received = await runCall([answered], {}, {
    crashes: { maySendAgain: () => false },
  });
  t.is(received.status, 200);
});

test("a broken stream is told with whether it had been answered in part, a whole answer as served", async (t) => {
  const crashes = createCrashAccess();
  crashes.maySendAgain = () => true;
  await runCall(
    [streams([1], "", true), cut, streams([2])],
    { kind: "stream", isResumable: true, maxAttempts: 3 },
    { crashes },
  );
  t.deepEqual(crashes.told, ["u-0 true", "u-1 false", "served"]);
});

test("a request that is held while it is under way unanswered ends at once, and is not called not run", async (t) => {
  const arrived = createDeferred<void>();
  const received = await runCall([() => arrived.resolve()], {}, {
    onStart: (run) => void arrived.promise.then(() => run.holdBack()),
  });
  t.is(received.status, 502);
});

test("a request that waits for its connection is withheld when its upstream asks for a backoff meanwhile", async (t) => {
  let first: Upstream | undefined;
  const received = await runCall([answered, answered], { kind: "once" }, {
    prepare: ([upstream]) => first = upstream,
    onStart: () =>
      first!.availability.note(
        { backoffMs: 60_000, isLeaving: false },
        performance.now(),
      ),
  });
  t.is(received.status, 200);
  t.is(received.outcome.attempts, 2);
  t.is(received.requests.length, 1);
});

test("a refusal of an upstream that doesn't say the request was not run is no promise to the caller", async (t) => {
  for (const status of [503, 429, 408]) {
    const received = await runCall([(_request, response) => {
      response.writeHead(status, { ...proven(), "Retry-After": "2" }).end();
    }], { kind: "once" });
    t.is(received.status, 502);
    t.is(received.headers.get("x-beechkeel-response-seal"), null);
  }
});

test("a refused caller is told when the upstreams may be asked again", async (t) => {
  const received = await runCall([declined], { kind: "once" }, {
    retryAfterMs: 2_500,
  });
  t.is(received.status, 503);
  t.is(received.headers.get("retry-after"), "2.5");
});

test("what another upstream at the address says is not taken for the word of the one that was meant", async (t) => {
  let meant: Upstream | undefined;
  const moved: Behaviour = (_request, response) => {
    response.writeHead(421, { "Server-Leaving": "1" }).end();
  };
  await runCall([moved, answered], {}, {
    prepare: ([first]) => meant = first,
  });
  t.false(meant!.isLeaving);
});
