import test from "ava";
import { createDeferred, forwardCall } from "./forward_call.ts";
import {
  type Behaviour,
  neverResponds,
  respondsOk,
  validHeaders,
} from "./upstream_behaviours.ts";

test("a repeatable request is sent to another upstream when its upstream is silent", async (t) => {
  const received = await forwardCall([neverResponds, respondsOk], {
    objectiveMs: 60,
  });
  t.is(received.status, 200);
  t.is(received.outcome.attempts, 2);
});

test("a repeatable request whose response is lost is sent to another upstream, even if its upstream responds to others", async (t) => {
  const received = await forwardCall(
    [neverResponds, respondsOk],
    { objectiveMs: 100 },
    { prepare: ([first]) => first!.lastReceivedAt = Infinity },
  );
  t.is(received.status, 200);
  t.is(received.outcome.attempts, 2);
});

/** Keeps this process from doing anything else, also from running other tests.
 * @param durationMs Duration in milliseconds. */
function blockProcess(durationMs: number): void {
  const end = performance.now() + durationMs;
  while (performance.now() < end);
}

test.serial("a request stays at an upstream that responds while the path to it is checked", async (t) => {
  const hasArrived = createDeferred<void>();
  const isChecked = createDeferred<void>();
  const respondsDuringCheck: Behaviour = async (_request, response) => {
    hasArrived.resolve();
    await isChecked.promise;
    response.writeHead(200, validHeaders());
    response.write("late ");
    setTimeout(() => response.end("response"), 10);
  };
  const received = await forwardCall(
    [respondsDuringCheck, respondsOk],
    { objectiveMs: 400 },
    {
      checkPath: async () => {
        await hasArrived.promise;
        isChecked.resolve();
        await Promise.resolve();
        // The process is late: the time for the check is over before it reads the response.
        blockProcess(300);
        return false;
      },
    },
  );
  t.is(received.body, "late response");
  t.is(received.outcome.attempts, 1);
});

test("an overdue request whose prompt has a costly prefill keeps waiting", async (t) => {
  const slow: Behaviour = (_request, response) =>
    void setTimeout(() => {
      response.writeHead(200, validHeaders());
      response.end("late");
    }, 90);
  const received = await forwardCall(
    [slow, respondsOk],
    { objectiveMs: 100 },
    {
      prepare: ([first]) => first!.lastReceivedAt = Infinity,
      sharedParts: [{ name: 1, tokens: 10_000 }],
    },
  );
  t.is(received.body, "late");
  t.is(received.outcome.attempts, 1);
});

test("a request that may run once waits for a silent upstream", async (t) => {
  const slow: Behaviour = (_request, response) =>
    void setTimeout(() => {
      response.writeHead(200, validHeaders());
      response.end("late");
    }, 200);
  const received = await forwardCall([slow, respondsOk], {
    kind: "once",
    objectiveMs: 20,
  });
  t.is(received.body, "late");
  t.is(received.requests.length, 1);
});
