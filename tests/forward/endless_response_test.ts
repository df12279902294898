import test from "ava";
import {
  ENDLESS_RESPONSES,
  ENDLESS_STREAMS,
  writeEndlessResponse,
} from "../../fakes/endless_response.ts";
import { ResponseMemory } from "../../src/forward/response_memory.ts";
import { forwardCall } from "./forward_call.ts";
import {
  type Behaviour,
  respondsOk,
  validHeaders,
} from "./upstream_behaviours.ts";

/** Time limit of the route, in milliseconds; far longer than it takes to exceed any limit on responses. */
const TIMEOUT_MS = 60_000;

for (const name of Object.keys(ENDLESS_RESPONSES)) {
  const behaviour: Behaviour = ({ socket }) =>
    writeEndlessResponse(socket, name, validHeaders());

  // Guards against responses without an end, which took memory and time until the time limit of their request.
  test.serial(`a caller gets a failure that counts as run, and no success, if ${name} never ends`, async (t) => {
    const memory = ResponseMemory.create();
    const received = await forwardCall(
      [behaviour],
      { kind: "once", timeoutMs: TIMEOUT_MS, maxAttempts: 1 },
      { memory },
    );
    if (received.status === 200) t.true(received.isTruncated);
    else {
      t.is(received.status, 502);
      t.is(received.headers.get("x-beechkeel-ran"), "unknown");
    }
    t.false(received.outcome.detail.startsWith("timed_out"));
    t.is(memory.heldBytes, 0);
  });

  test.serial(`a request that may run again is served by a second upstream if ${name} of the first never ends`, async (t) => {
    const received = await forwardCall([behaviour, respondsOk], {
      timeoutMs: TIMEOUT_MS,
      maxAttempts: 2,
    });
    if (received.status === 200 && received.isTruncated) {
      return t.true(ENDLESS_STREAMS.has(name));
    }
    t.is(received.status, 200);
    t.is(received.body, "done");
  });
}
