import fc from "fast-check";
import test from "ava";
import {
  ConnectionState,
  type ConnectionStep,
} from "../../src/http/connection_state.ts";

test("a late head is refused at once if nothing is unanswered", (t) => {
  const state = ConnectionState.create();
  t.is(state.failHead(), "refuse");
  t.is(state.receiveRequest(), "drop");
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

test("an idle connection of a process that stops is kept for a request that is on its way", (t) => {
  const state = ConnectionState.create();
  t.is(state.leave(), "settle");
  t.is(state.receiveRequest(), "refuse");
  t.is(state.endIdle(false), "none");
  t.is(state.receiveRequest(), "drop");
  t.is(state.endResponse(), "close");
});

test("a connection of a process that stops is closed after the responses under way", (t) => {
  const state = ConnectionState.create();
  state.receiveRequest();
  state.receiveRequest();
  t.is(state.leave(), "none");
  t.is(state.endIdle(false), "none");
  t.is(state.endResponse(), "none");
  t.is(state.endResponse(), "settle");
  t.is(state.endIdle(false), "close");
});

test("a head that has arrived in part when its connection is closed is refused", (t) => {
  const state = ConnectionState.create();
  state.leave();
  t.is(state.endIdle(true), "refuse");
  t.is(state.receiveRequest(), "drop");
});

type Event =
  | "receive"
  | "respond"
  | "fail_head"
  | "fail_body"
  | "leave"
  | "end_idle"
  | "end_idle_in_head";

/** Number of responses that a connection in a sequence of events owes and has sent, and the ends of the connection. */
class EventSequence {
  private readonly state = ConnectionState.create();
  private handled = 0;
  private refused = 0;
  private answered = 0;
  private hasFault = false;
  private hasLeft = false;
  private ends = 0;
  private isSettling = false;

  private constructor() {}

  static create(): EventSequence {
    return new EventSequence();
  }

  /** Applies an event; returns whether the outcome is sound. */
  apply(event: Event): boolean {
    const isOwing = this.answered < this.handled + this.refused;
    if (event === "receive") return this.receive();
    if (event === "respond") return !isOwing || this.respond();
    if (event === "fail_head") return this.fail(this.state.failHead());
    if (event === "fail_body") {
      return this.handled === 0 || this.fail(this.state.failBody(!isOwing));
    }
    if (event === "leave") {
      this.hasLeft = true;
      return this.follow(this.state.leave());
    }
    const mayEnd = this.isSettling;
    const step = this.state.endIdle(event === "end_idle_in_head");
    return (mayEnd || step === "none") && this.follow(step);
  }

  /** Sends all responses; returns whether the connection has then ended once, or is to stay open. */
  complete(): boolean {
    while (this.answered < this.handled + this.refused) {
      if (!this.respond()) return false;
    }
    if (this.hasLeft && !this.follow(this.state.endIdle(false))) return false;
    return this.ends === (this.hasFault || this.hasLeft ? 1 : 0);
  }

  private receive(): boolean {
    const step = this.state.receiveRequest();
    if (step === "handle") this.handled += 1;
    if (step === "refuse") this.refused += 1;
    const mayHandle = !this.hasFault && !this.hasLeft && this.ends === 0;
    const mayRefuse = this.hasLeft && !this.hasFault && this.ends === 0 &&
      this.refused <= 1;
    return (step === "handle") === mayHandle &&
      (step !== "refuse" || mayRefuse);
  }

  private respond(): boolean {
    this.answered += 1;
    return this.follow(this.state.endResponse());
  }

  private fail(step: ConnectionStep): boolean {
    const isFirst = this.refused === 0 && this.ends === 0;
    if (isFirst) this.hasFault = true;
    return this.follow(step);
  }

  private follow(step: ConnectionStep): boolean {
    if (step === "settle") this.isSettling = true;
    const isEnd = step === "refuse" || step === "close";
    if (isEnd) this.ends += 1;
    return !(isEnd || step === "settle") ||
      this.answered === this.handled + this.refused;
  }
}

// Guards against a request that is handled although its caller was told that it has not run, against a refusal that
// takes the place of another request's response, and against a connection that is closed before a response or never.
for (
  const [name, events] of [
    ["without a stop", ["receive", "respond", "fail_head", "fail_body"]],
    ["of a process that stops", [
      "receive",
      "respond",
      "fail_head",
      "fail_body",
      "leave",
      "end_idle",
      "end_idle_in_head",
    ]],
  ] as const
) {
  test(`in any order of events a connection ${name} ends at most once, after all responses, and nothing is handled after a fault`, (t) => {
    const property = fc.property(
      fc.array(fc.constantFrom<Event>(...events), { maxLength: 30 }),
      (sequence) => {
        const connection = EventSequence.create();
        return sequence.every((event) => connection.apply(event)) &&
          connection.complete();
      },
    );
    t.notThrows(() => fc.assert(property, { seed: 7, numRuns: 4_000 }));
  });
}
