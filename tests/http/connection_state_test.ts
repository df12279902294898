import fc from "fast-check";
import test from "ava";
import { ConnectionState } from "../../src/http/connection_state.ts";

test("a late head is refused at once if nothing is unanswered", (t) => {
  const state = ConnectionState.create();
  t.is(state.failHead(), "refuse");
  t.false(state.receiveRequest());
});

test("a late head is refused after the responses to the requests before it", (t) => {
  const state = ConnectionState.create();
  state.receiveRequest();
  state.receiveRequest();
  t.is(state.failHead(), "none");
  t.is(state.endResponse(), "none");
  t.is(state.endResponse(), "refuse");
});

test("a request whose body can't be received is refused by its handler, and the connection is closed after it", (t) => {
  const state = ConnectionState.create();
  state.receiveRequest();
  t.is(state.failBody(false), "fail_request");
  t.is(state.endResponse(), "close");
});

test("an answered request whose body can't be received gets no second response", (t) => {
  const state = ConnectionState.create();
  state.receiveRequest();
  state.endResponse();
  t.is(state.failBody(true), "close");
});

type Event = "receive" | "respond" | "fail_head" | "fail_body";

// Guards against a request that is handled although its caller was told that it has not run, and against a refusal
// that takes the place of another request's response.
test("in any order of events at most one refusal is sent, after all responses, and nothing is handled after a fault", (t) => {
  const event = fc.constantFrom<Event>(
    "receive",
    "respond",
    "fail_head",
    "fail_body",
  );
  const property = fc.property(fc.array(event, { maxLength: 30 }), (events) => {
    const state = ConnectionState.create();
    let handled = 0;
    let answered = 0;
    let hasFault = false;
    let ends = 0;
    for (const each of events) {
      let step = "none";
      if (each === "receive") {
        const isHandled = state.receiveRequest();
        if (isHandled === hasFault) return false;
        if (isHandled) handled += 1;
      } else if (each === "respond") {
        if (answered === handled) continue;
        answered += 1;
        step = state.endResponse();
      } else if (each === "fail_head") {
        step = state.failHead();
        hasFault = true;
      } else {
        if (handled === 0) continue;
        step = state.failBody(answered === handled);
        hasFault = true;
      }
      if (step === "refuse" || step === "close") {
        if (answered !== handled) return false;
        ends += 1;
      }
    }
    while (answered < handled) {
      answered += 1;
      const step = state.endResponse();
      if (step === "refuse" || step === "close") ends += 1;
    }
    return ends === (hasFault ? 1 : 0);
  });
  t.notThrows(() => fc.assert(property, { seed: 7, numRuns: 2_000 }));
});
