import test from "ava";
import fc from "fast-check";
import { CrashStore } from "../../src/crashes/crash_store.ts";
import { Random } from "../../src/random/random.ts";
import type { CrashReport } from "../../src/crashes/crash_report.ts";

const REQUEST = 7;
const SECOND_MS = 1_000;
const HOUR_MS = 3_600 * SECOND_MS;

function createStore() {
  const held: number[] = [];
  const heard: number[] = [];
  const store = CrashStore.create({
    onCrashReported: (instanceHash) => heard.push(instanceHash),
    onPendingReports: () => undefined,
    onHeld: (fingerprint) => held.push(fingerprint),
    onPromptCrash: () => undefined,
    getSuspicion: () => 0,
    isExplained: () => false,
    isHeld: () => false,
  });
  return { store, held, heard };
}

/** Returns the reports of all records, after those that have expired are removed. */
function getAllReports(store: CrashStore, now: number): CrashReport[] {
  return store.sampleReports(Infinity, now, Random.create(1));
}

/** Creates a store in which a request was in flight without a response on some instances that crashed at time 0. */
function createStoreWithCrashes(...instanceHashes: number[]) {
  const { store, held } = createStore();
  for (const hash of instanceHashes) store.recordCrash(REQUEST, hash, 2, 0);
  return { store, held };
}

test("one crash holds no request, since that would also hold all others in flight on the same upstream", (t) => {
  const { store, held } = createStoreWithCrashes(1);
  t.is(store.getHold(REQUEST, 0), undefined);
  t.deepEqual(held, []);
});

test("two crashes hold a request for 30 s, three for an hour, and other requests are not held", (t) => {
  const { store, held } = createStoreWithCrashes(1, 2);
  t.truthy(store.getHold(REQUEST, 29 * SECOND_MS));
  t.is(store.getHold(REQUEST, 31 * SECOND_MS), undefined);
  store.recordCrash(REQUEST, 3, 2, 40 * SECOND_MS);
  t.truthy(store.getHold(REQUEST, 40 * SECOND_MS + HOUR_MS - 1));
  t.is(store.getHold(REQUEST, 41 * SECOND_MS + HOUR_MS), undefined);
  t.is(store.getHold(8, 0), undefined);
  t.deepEqual(held, [REQUEST, REQUEST]);
});

test("two attempts on the same instance count once", (t) => {
  t.is(createStoreWithCrashes(1, 1).store.getHold(REQUEST, 0), undefined);
});

test("a request with partial responses is only held after four crashes", (t) => {
  const { store } = createStore();
  for (const hash of [1, 2, 3]) store.recordCrash(REQUEST, hash, 1, 0);
  t.is(store.getHold(REQUEST, 0), undefined);
  store.recordCrash(REQUEST, 4, 1, 0);
  t.truthy(store.getHold(REQUEST, 0));
});

test("the completion of a request excuses its earlier crashes, also if other hosts report them again", (t) => {
  const { store } = createStoreWithCrashes(1, 2);
  const reports = getAllReports(store, 0);
  store.recordCompletion(REQUEST, 0);
  t.is(store.getHold(REQUEST, 0), undefined);
  store.mergeReports(reports, 0);
  t.is(store.getHold(REQUEST, 0), undefined);
});

test("no crash is attributed to a request that completed recently, since many callers may send the same one", (t) => {
  const { store } = createStore();
  store.recordCompletion(REQUEST, 0);
  for (const hash of [1, 2, 3]) store.recordCrash(REQUEST, hash, 2, 10);
  t.is(store.getHold(REQUEST, 10), undefined);
});

test("a host that recorded one crash holds the request once another host reports a second one", (t) => {
  const [one, other] = [createStoreWithCrashes(1), createStoreWithCrashes(2)];
  one.store.mergeReports(other.store.takePendingReports(10, 0), 0);
  t.truthy(one.store.getHold(REQUEST, 0));
  t.true(one.store.hasPendingReports);
  t.is(other.store.getHold(REQUEST, 0), undefined);
});

test("a reported crash is passed to the listener once, and only while it is recent", (t) => {
  const { store, heard } = createStore();
  const report = { fingerprint: REQUEST, agoMs: 10, excused: [], parts: [] };
  store.mergeReports([{ ...report, crashes: [[1, 2]] }], 0);
  store.mergeReports([{ ...report, crashes: [[1, 2]] }], 0);
  store.mergeReports(
    [{ ...report, crashes: [[2, 2]], agoMs: 60 * SECOND_MS }],
    0,
  );
  t.deepEqual(heard, [1]);
});

test("the age in a report counts towards the hold and the retention, so that no record is kept forever", (t) => {
  const { store } = createStore();
  const report = { fingerprint: REQUEST, crashes: [], excused: [], parts: [] };
  const crashes: CrashReport["crashes"] = [[1, 2], [2, 2]];
  store.mergeReports([{ ...report, crashes, agoMs: 31 * SECOND_MS }], 0);
  t.is(store.getHold(REQUEST, 0), undefined);
  t.is(getAllReports(store, 49 * HOUR_MS).length, 0);
  store.mergeReports([{ ...report, crashes, agoMs: 49 * HOUR_MS }], 0);
  t.true(store.isEmpty);
});

test("records that meet the hold threshold are sampled before all others, and retained longer", (t) => {
  const { store } = createStoreWithCrashes(1, 2);
  for (let other = 100; other < 300; other++) {
    store.recordCrash(other, 1, 2, 0);
  }
  const [first] = store.sampleReports(1, 0, Random.create(1));
  t.is(first?.fingerprint, REQUEST);
  t.deepEqual(
    getAllReports(store, 2 * HOUR_MS).map(({ fingerprint }) => fingerprint),
    [REQUEST],
  );
});

test("the number of records is bounded, and held requests are not evicted", (t) => {
  const { store } = createStoreWithCrashes(1, 2);
  for (let other = 100; other < 5_100; other++) {
    store.recordCrash(other, 1, 2, 1);
  }
  t.truthy(store.getHold(REQUEST, 1));
  t.true(getAllReports(store, 1).length <= 4_096);
});

const reportArbitrary: fc.Arbitrary<CrashReport> = fc.record({
  fingerprint: fc.integer({ min: 1, max: 3 }),
  agoMs: fc.integer({ min: 0, max: 100 }),
  crashes: fc.array(
    fc.tuple(
      fc.integer({ min: 1, max: 5 }),
      fc.constantFrom(1, 2),
    ),
    { maxLength: 3 },
  ),
  excused: fc.array(fc.integer({ min: 1, max: 5 }), { maxLength: 2 }),
  parts: fc.constant([]),
});

test("hosts that receive the same reports converge to the same points, in any order and with repetitions", (t) => {
  const property = fc.property(
    fc.array(reportArbitrary, { maxLength: 12 }),
    fc.array(reportArbitrary, { maxLength: 4 }),
    (reports, repeated) => {
      const [one, other] = [createStore().store, createStore().store];
      one.mergeReports([...reports, ...repeated], 0);
      other.mergeReports([...repeated, ...reports.toReversed(), ...reports], 0);
      const summarize = (store: CrashStore) =>
        [1, 2, 3].map((fingerprint) => store.getPoints(fingerprint));
      return JSON.stringify(summarize(one)) ===
        JSON.stringify(summarize(other));
    },
  );
  fc.assert(property, { seed: 18, numRuns: 500 });
  t.pass();
});
