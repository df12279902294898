import test from "ava";
import {
  Availability,
  type AvailabilityChange,
} from "../../src/upstreams/availability.ts";

const HOUR_MS = 3_600_000;

function create() {
  const availability = Availability.create();
  const changes: AvailabilityChange[] = [];
  availability.onChange = (change) => changes.push(change);
  const askFor = (backoffMs: number, now: number) =>
    availability.note({ backoffMs, isLeaving: false }, now);
  return { availability, changes, askFor };
}

test("of backoffs that overlap the one that ends last holds, in whatever order they come", (t) => {
  const { availability, changes, askFor } = create();
  askFor(3_000, 0);
  askFor(500, 1_000);
  t.false(availability.takesRequests(2_999));
  t.true(availability.takesRequests(3_000));
  askFor(1_000, 2_500);
  t.is(availability.getBackoffMs(3_000), 500);
  t.deepEqual(changes, ["backs_off"]);
});

test("an absurd time takes an upstream out for minutes, not for good", (t) => {
  const { availability, askFor } = create();
  askFor(1_000 * HOUR_MS, 0);
  t.false(availability.takesRequests(60_000));
  t.true(availability.takesRequests(HOUR_MS));
});

test("after a backoff one request goes first, and twice as many with each that is taken", (t) => {
  const { availability, changes, askFor } = create();
  t.false(availability.beginRequest());
  askFor(100, 0);
  for (const limit of [1, 2, 4, 8]) {
    for (let index = 0; index < limit; index++) {
      t.true(availability.hasRoom(100));
      t.true(availability.beginRequest());
    }
    t.false(availability.hasRoom(100));
    for (let index = 1; index < limit; index++) availability.endTrial(false);
    availability.endTrial(true);
  }
  t.true(availability.hasRoom(100));
  t.false(availability.beginRequest());
  t.deepEqual(changes, ["backs_off", "reopened"]);
});

test("a request that is turned away again begins the count anew", (t) => {
  const { availability, askFor } = create();
  askFor(100, 0);
  availability.beginRequest();
  availability.endTrial(true);
  availability.beginRequest();
  askFor(100, 200);
  availability.endTrial(false);
  t.false(availability.takesRequests(299));
  t.true(availability.beginRequest());
  t.false(availability.hasRoom(300));
});

test("what says that it is leaving takes no request any more, whatever it says later", (t) => {
  const { availability, changes } = create();
  const say = (isLeaving: boolean) =>
    availability.note({ backoffMs: undefined, isLeaving }, 0);
  say(true);
  say(false);
  say(true);
  t.true(availability.isLeaving);
  t.false(availability.takesRequests(HOUR_MS));
  t.deepEqual(changes, ["leaves"]);
});

test("an upstream that is found full again and again is tried ever more rarely, until it takes a request", (t) => {
  const { availability } = create();
  let now = 0;
  const findFullMs = () => {
    availability.noteFull(now);
    availability.noteFull(now + 1);
    const from = now;
    while (!availability.hasRoom(now)) now += 10;
    return now - from;
  };
  t.deepEqual(
    Array.from({ length: 6 }, findFullMs),
    [150, 300, 600, 1_200, 2_400, 2_400],
  );
  t.true(availability.beginRequest());
  availability.noteTaken();
  availability.endTrial(true);
  t.is(findFullMs(), 150);
});
