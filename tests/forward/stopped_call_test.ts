import test from "ava";
import type { CallForwarder } from "../../src/forward/call_forwarder.ts";
import type { StopEnd } from "../../src/forward/call_progress.ts";
import { forwardCall } from "./forward_call.ts";
import { type Behaviour, REQUEST_ID } from "./upstream_behaviours.ts";

const RETRY_AFTER_MS = 0;

/** Ends a call for a stop once something has happened to it. */
function endOnce(
  happened: Promise<void>,
): { ends: StopEnd[]; onStart: (forwarder: CallForwarder) => void } {
  const ends: StopEnd[] = [];
  return {
    ends,
    onStart: (forwarder) =>
      void happened.then(() => ends.push(forwarder.endForStop(RETRY_AFTER_MS))),
  };
}

// Guards against a cut connection, which leaves a caller not knowing whether its request has run.
test("a stop refuses a call that waits to be sent as not run", async (t) => {
  const { ends, onStart } = endOnce(Promise.resolve());
  const { status, headers, requests } = await forwardCall(
    [() => undefined],
    {},
    {
      onStart,
      admit: () => ({
        type: "wait",
        result: new Promise(() => undefined),
        leave: () => undefined,
      }),
    },
  );
  t.deepEqual(ends, ["refused"]);
  t.is(status, 503);
  t.is(headers.get("x-beechkeel-error"), "draining");
  t.is(headers.get("x-beechkeel-ran"), "no");
  t.is(headers.get("retry-after"), "0");
  t.is(requests.length, 0);
});

test("a stop answers a call that an upstream may have run with an error that says so", async (t) => {
  let arrive: () => void = () => undefined;
  const arrived = new Promise<void>((resolve) => arrive = resolve);
  const { ends, onStart } = endOnce(arrived);
  const { status, headers, isTruncated } = await forwardCall(
    [() => arrive()],
    {},
    { onStart },
  );
  t.deepEqual(ends, ["failed"]);
  t.is(status, 502);
  t.is(headers.get("x-beechkeel-ran"), "unknown");
  t.false(isTruncated);
});

test("a stop cuts a response that has begun, so that it does not look complete", async (t) => {
  let begin: () => void = () => undefined;
  const begun = new Promise<void>((resolve) => begin = resolve);
  const stream: Behaviour = (_request, response) => {
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "x-beechkeel-attempt-id": REQUEST_ID,
      "x-beechkeel-response-seal": "seal",
    });
    response.write("id: 1\ndata: a\n\n");
  };
  const ends: StopEnd[] = [];
  const { status, isTruncated, outcome } = await forwardCall(
    [stream],
    { kind: "stream", isResumable: true },
    {
      onStart: (forwarder) => {
        const timer = setInterval(() => {
          if (forwarder.describeProgress().events === 0) return;
          clearInterval(timer);
          begin();
        }, 5);
        void begun.then(() => ends.push(forwarder.endForStop(RETRY_AFTER_MS)));
      },
    },
  );
  t.deepEqual(ends, ["cut"]);
  t.is(status, 200);
  t.true(isTruncated);
  t.is(outcome.result, "broken_off");
});
