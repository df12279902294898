import test from "ava";
import { forwardCall } from "./forward_call.ts";
import { declines, failsAfterRun, respondsOk } from "./upstream_behaviours.ts";

test("a request that was admitted is not sent by a publication that is outdated by then", async (t) => {
  const received = await forwardCall([respondsOk], { kind: "once" }, {
    isPublicationUsable: () => false,
  });
  t.is(received.status, 503);
  t.is(received.headers.get("x-beechkeel-error"), "belief_too_old");
  t.is(received.headers.get("retry-after"), "0.2");
  t.is(received.requests.length, 0);
});

test("a declined request is not sent again by an outdated publication, and refused as not run", async (t) => {
  let isUsable = true;
  const received = await forwardCall(
    [
      (request, response) => {
        isUsable = false;
        declines(request, response);
      },
      respondsOk,
    ],
    { kind: "once" },
    { isPublicationUsable: () => isUsable },
  );
  t.is(received.status, 503);
  t.is(received.headers.get("x-beechkeel-error"), "belief_too_old");
  t.is(received.requests.length, 1);
});

test("a request that ran is not sent again by an outdated publication, and its response is passed on", async (t) => {
  let isUsable = true;
  const received = await forwardCall(
    [
      (request, response) => {
        isUsable = false;
        failsAfterRun(request, response);
      },
      respondsOk,
    ],
    {},
    { isPublicationUsable: () => isUsable },
  );
  t.is(received.status, 500);
  t.is(received.requests.length, 1);
});

test("a request that waited for its connection is sent elsewhere if its upstream may have left meanwhile", async (t) => {
  const received = await forwardCall([respondsOk, respondsOk], {
    kind: "once",
  }, { maySendTo: ({ id }) => id !== "u-0" });
  t.is(received.status, 200);
  t.is(received.requests.length, 1);
});
