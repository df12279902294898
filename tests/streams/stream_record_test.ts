import test from "ava";
import { createStreamKey } from "../../src/streams/stream_record.ts";
import { StreamRecordStore } from "../../src/streams/stream_record_store.ts";

const FIRST = { service: "s", softwareVersion: "v1", order: 1 };
const SECOND = { service: "s", softwareVersion: "v2", order: 2 };

function createStore() {
  const clock = { now: 0 };
  return { clock, store: StreamRecordStore.create(() => clock.now) };
}

test("the same request id of two customers, or of none, has different keys", (t) => {
  const keys = ["c-1", "c-2", undefined].map((customer) =>
    createStreamKey(customer, "r-1")
  );
  t.is(new Set(keys).size, 3);
  t.true(keys.every(Number.isSafeInteger));
});

test("a record that is received late does not replace a later one", (t) => {
  const { store } = createStore();
  store.put(1, SECOND);
  store.put(1, FIRST);
  t.deepEqual(store.get(1), SECOND);
});

test("a record is kept for 30 seconds after it was last received", (t) => {
  const { store, clock } = createStore();
  store.put(1, FIRST);
  clock.now = 20_000;
  store.put(1, FIRST);
  clock.now = 49_999;
  t.deepEqual(store.get(1), FIRST);
  clock.now = 50_000;
  t.is(store.get(1), undefined);
});
