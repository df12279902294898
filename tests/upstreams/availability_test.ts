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
  const requestBackoff = (backoffMs: number, now: number) =>
    availability.recordNotice({ backoffMs, isLeaving: false }, now);
  return { availability, changes, requestBackoff };
}

test("the overlapping backoff that ends last counts, in whatever order they arrive", (t) => {
  const { availability, changes, requestBackoff } = create();
  requestBackoff(3_000, 0);
  requestBackoff(500, 1_000);
  t.false(availability.acceptsRequests(2_999));
  t.true(availability.acceptsRequests(3_000));
  requestBackoff(1_000, 2_500);
  t.is(availability.getBackoffMs(3_000), 500);
  t.deepEqual(changes, ["backs_off"]);
});

test("an excessive backoff excludes an upstream for minutes, not permanently", (t) => {
  const { availability, requestBackoff } = create();
  requestBackoff(1_000 * HOUR_MS, 0);
  t.false(availability.acceptsRequests(60_000));
  t.true(availability.acceptsRequests(HOUR_MS));
});

test("after a backoff one trial request is sent, and the limit doubles with each accepted one", (t) => {
  const { availability, changes, requestBackoff } = create();
  t.false(availability.beginRequest());
  requestBackoff(100, 0);
  for (const limit of [1, 2, 4, 8]) {
    for (let index = 0; index < limit; index++) {
      t.true(availability.hasCapacity(100));
      t.true(availability.beginRequest());
    }
    t.false(availability.hasCapacity(100));
    for (let index = 1; index < limit; index++) availability.endTrial(false);
    availability.endTrial(true);
  }
  t.true(availability.hasCapacity(100));
  t.false(availability.beginRequest());
  t.deepEqual(changes, ["backs_off", "reopened"]);
});

test("a declined trial request resets the limit to one", (t) => {
  const { availability, requestBackoff } = create();
  requestBackoff(100, 0);
  availability.beginRequest();
  availability.endTrial(true);
  availability.beginRequest();
  requestBackoff(100, 200);
  availability.endTrial(false);
  t.false(availability.acceptsRequests(299));
  t.true(availability.beginRequest());
  t.false(availability.hasCapacity(300));
});

test("an upstream that announced leaving accepts no more requests, whatever it announces later", (t) => {
  const { availability, changes } = create();
  const receiveNotice = (isLeaving: boolean) =>
    availability.recordNotice({ backoffMs: undefined, isLeaving }, 0);
  receiveNotice(true);
  receiveNotice(false);
  receiveNotice(true);
  t.true(availability.isLeaving);
  t.false(availability.acceptsRequests(HOUR_MS));
  t.deepEqual(changes, ["leaves"]);
});

test("an upstream that repeatedly declines is tried at growing intervals, until it accepts a request", (t) => {
  const { availability } = create();
  let now = 0;
  const measureDeclineBackoffMs = () => {
    availability.recordDecline(now);
    availability.recordDecline(now + 1);
    const declinedAt = now;
    while (!availability.hasCapacity(now)) now += 10;
    return now - declinedAt;
  };
  t.deepEqual(
    Array.from({ length: 6 }, measureDeclineBackoffMs),
    [150, 300, 600, 1_200, 2_400, 2_400],
  );
  t.true(availability.beginRequest());
  availability.recordAccepted();
  availability.endTrial(true);
  t.is(measureDeclineBackoffMs(), 150);
});
