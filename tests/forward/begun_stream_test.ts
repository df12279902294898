import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { forwardCall } from "./forward_call.ts";
import {
  type Behaviour,
  declines,
  failsAfterRun,
  neverResponds,
  resetsConnection,
  respondsOk,
  streams,
  validHeaders,
} from "./upstream_behaviours.ts";

/** Time limits of the route, in milliseconds: one that silent upstreams reach soon, and one that a busy machine does not
 * reach before the first events. */
const [SHORT_TIMEOUT_MS, TIMEOUT_MS] = [500, 5_000];
/** Time after which a response that has not ended counts as open for ever, in milliseconds. */
const OPEN_MS = 20_000;
const EVENT_STREAM = { "Content-Type": "text/event-stream" };

/** Responds with a status, headers and a body. */
function responds(
  status: number,
  headers: Record<string, string> = {},
  body = "",
): Behaviour {
  return (_request, response) => {
    response.writeHead(status, { ...validHeaders(), ...headers }).end(body);
  };
}

/** All that an upstream may answer to the first or to a later attempt. */
const ANSWERS: Readonly<Record<string, Behaviour>> = {
  "the rest of the stream": streams([4, 5, 6]),
  "all events anew": streams([1, 2, 3, 4, 5, 6]),
  "a stream cut within an event": streams([], "id: 4\nda", true),
  "a stream that ends within an event": streams([], "id: 4\nda"),
  "a whole body": respondsOk,
  "an empty body": responds(200),
  "no body": responds(204),
  "a redirect": responds(302, { Location: "/" }),
  "an unknown path": responds(404),
  "an error": failsAfterRun,
  "an error as an event stream": responds(500, EVENT_STREAM, "data: no\n\n"),
  "too many requests": responds(429),
  "no room": responds(503),
  "a decline": declines,
  "another request's answer": responds(200, { "X-Beechkeel-Attempt-Id": "x" }),
  "a reset": resetsConnection,
  "nothing": neverResponds,
};

const BEGUN = streams([1, 2, 3], "", true);
const WHOLE = [1, 2, 3, 4, 5, 6].map((id) => `id: ${id}\ndata: x\n\n`).join("");

/** Streams events without ids from the first on. */
const respondsAnew = responds(200, EVENT_STREAM, "data: 1\n\ndata: 2\n\n");

/** Forwards a call for a resumable stream; returns undefined if the response never ends. */
function forwardStream(
  behaviours: readonly Behaviour[],
  maxAttempts: number,
  timeoutMs: number,
) {
  const received = forwardCall(behaviours, {
    kind: "stream",
    isResumable: true,
    timeoutMs,
    maxAttempts,
  });
  return Promise.race([received, delay(OPEN_MS, undefined, { ref: false })]);
}

// Guards against begun streams that stayed open for ever because their continuation was answered with something else.
for (const [name, answer] of Object.entries(ANSWERS)) {
  test(`a begun stream whose continuation gets ${name} ends whole or is cut`, async (t) => {
    const received = await forwardStream([BEGUN, answer], 2, TIMEOUT_MS);
    t.truthy(received, "the response is still open");
    t.is(received?.status, 200);
    t.false(received?.outcome.wasOpen);
    if (!received?.isTruncated) t.is(received?.body, WHOLE);
  });
}

test("a begun stream whose continuation gets an error continues at a third upstream", async (t) => {
  const behaviours = [BEGUN, failsAfterRun, streams([4, 5, 6])];
  const received = await forwardStream(behaviours, 3, TIMEOUT_MS);
  t.false(received?.isTruncated);
  t.is(received?.body, WHOLE);
});

// Guards against events of two runs in one stream: no upstream can be told after which event to continue.
test("a stream whose events have no id is cut when it breaks, and not begun anew", async (t) => {
  const breaks: Behaviour = (_request, response) => {
    response.writeHead(200, { ...validHeaders(), ...EVENT_STREAM });
    response.write("data: 1\n\n");
    setTimeout(() => response.socket?.resetAndDestroy(), 20);
  };
  const received = await forwardStream([breaks, respondsAnew], 2, TIMEOUT_MS);
  t.true(received?.isTruncated);
  t.is(received?.requests.length, 1);
});

for (const [first, firstAnswer] of Object.entries(ANSWERS)) {
  test(`after ${first} each second answer ends the response`, async (t) => {
    for (const [second, secondAnswer] of Object.entries(ANSWERS)) {
      const received = await forwardStream(
        [firstAnswer, secondAnswer],
        2,
        SHORT_TIMEOUT_MS,
      );
      t.truthy(received, `${second}: the response is still open`);
      t.false(received?.outcome.wasOpen, second);
    }
  });
}
