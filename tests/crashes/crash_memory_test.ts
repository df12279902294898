import test from "ava";
import fc from "fast-check";
import { CrashMemory } from "../../src/crashes/crash_memory.ts";
import { Random } from "../../src/random/random.ts";
import type { CrashWord } from "../../src/crashes/crash_word.ts";

const REQUEST = 7;
const SECOND_MS = 1_000;
const HOUR_MS = 3_600 * SECOND_MS;

function createMemory() {
  const held: number[] = [];
  const heard: number[] = [];
  const memory = CrashMemory.create({
    onCrashHeard: (upstream) => heard.push(upstream),
    onNews: () => undefined,
    onHeld: (fingerprint) => held.push(fingerprint),
  });
  return { memory, held, heard };
}

function getAll(memory: CrashMemory, now: number): CrashWord[] {
  return memory.getReminders(Infinity, now, Random.create(1));
}

/** A memory in which a request was unanswered on some starts of upstreams that crashed, at the moment 0. */
function withCrashes(...upstreams: number[]) {
  const { memory, held } = createMemory();
  for (const upstream of upstreams) memory.noteCrash(REQUEST, upstream, 2, 0);
  return { memory, held };
}

test("one crash holds no request, for all that ran beside the guilty one would be held", (t) => {
  const { memory, held } = withCrashes(1);
  t.is(memory.getHold(REQUEST, 0), undefined);
  t.deepEqual(held, []);
});

test("two crashes hold a request for a while, three for an hour, and others not at all", (t) => {
  const { memory, held } = withCrashes(1, 2);
  t.truthy(memory.getHold(REQUEST, 29 * SECOND_MS));
  t.is(memory.getHold(REQUEST, 31 * SECOND_MS), undefined);
  memory.noteCrash(REQUEST, 3, 2, 40 * SECOND_MS);
  t.truthy(memory.getHold(REQUEST, 40 * SECOND_MS + HOUR_MS - 1));
  t.is(memory.getHold(REQUEST, 41 * SECOND_MS + HOUR_MS), undefined);
  t.is(memory.getHold(8, 0), undefined);
  t.deepEqual(held, [REQUEST, REQUEST]);
});

test("two tries that were on the same start count once", (t) => {
  t.is(withCrashes(1, 1).memory.getHold(REQUEST, 0), undefined);
});

test("a request that had been answered in part is held after four crashes only", (t) => {
  const { memory } = createMemory();
  for (const upstream of [1, 2, 3]) memory.noteCrash(REQUEST, upstream, 1, 0);
  t.is(memory.getHold(REQUEST, 0), undefined);
  memory.noteCrash(REQUEST, 4, 1, 0);
  t.truthy(memory.getHold(REQUEST, 0));
});

test("a request that is served to its end is cleared of the crashes before, also where others tell them again", (t) => {
  const { memory } = withCrashes(1, 2);
  const told = getAll(memory, 0);
  memory.noteServed(REQUEST, 0);
  t.is(memory.getHold(REQUEST, 0), undefined);
  memory.learn(told, 0);
  t.is(memory.getHold(REQUEST, 0), undefined);
});

test("a request that was served a moment ago is not blamed, for many callers may send the same", (t) => {
  const { memory } = createMemory();
  memory.noteServed(REQUEST, 0);
  for (const upstream of [1, 2, 3]) memory.noteCrash(REQUEST, upstream, 2, 10);
  t.is(memory.getHold(REQUEST, 10), undefined);
});

test("two hosts that each saw one crash hold the request once they have heard of each other's", (t) => {
  const [one, other] = [withCrashes(1), withCrashes(2)];
  one.memory.learn(other.memory.takeNews(10, 0), 0);
  t.truthy(one.memory.getHold(REQUEST, 0));
  t.true(one.memory.hasNews);
  t.is(other.memory.getHold(REQUEST, 0), undefined);
});

test("word of a crash is passed on once, and only while it is new", (t) => {
  const { memory, heard } = createMemory();
  const word = { fingerprint: REQUEST, agoMs: 10, excused: [] };
  memory.learn([{ ...word, crashes: [[1, 2]] }], 0);
  memory.learn([{ ...word, crashes: [[1, 2]] }], 0);
  memory.learn([{ ...word, crashes: [[2, 2]], agoMs: 60 * SECOND_MS }], 0);
  t.deepEqual(heard, [1]);
});

test("what is told ages by what its word says, so that nothing is remembered for ever", (t) => {
  const { memory } = createMemory();
  const word = { fingerprint: REQUEST, crashes: [], excused: [] };
  const crashes: CrashWord["crashes"] = [[1, 2], [2, 2]];
  memory.learn([{ ...word, crashes, agoMs: 31 * SECOND_MS }], 0);
  t.is(memory.getHold(REQUEST, 0), undefined);
  t.is(getAll(memory, 49 * HOUR_MS).length, 0);
  memory.learn([{ ...word, crashes, agoMs: 49 * HOUR_MS }], 0);
  t.true(memory.isEmpty);
});

test("what crashes upstreams is reminded of before what only ran beside it, and remembered longer", (t) => {
  const { memory } = withCrashes(1, 2);
  for (let other = 100; other < 300; other++) {
    memory.noteCrash(other, 1, 2, 0);
  }
  const [first] = memory.getReminders(1, 0, Random.create(1));
  t.is(first?.fingerprint, REQUEST);
  t.deepEqual(
    getAll(memory, 2 * HOUR_MS).map(({ fingerprint }) => fingerprint),
    [REQUEST],
  );
});

test("a flood of crashing requests is bounded, and does not push out those that are held", (t) => {
  const { memory } = withCrashes(1, 2);
  for (let other = 100; other < 5_100; other++) {
    memory.noteCrash(other, 1, 2, 1);
  }
  t.truthy(memory.getHold(REQUEST, 1));
  t.true(getAll(memory, 1).length <= 4_096);
});

const wordArbitrary: fc.Arbitrary<CrashWord> = fc.record({
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
});

test("hosts that hear the same come to the same, in any order and however often", (t) => {
  const property = fc.property(
    fc.array(wordArbitrary, { maxLength: 12 }),
    fc.array(wordArbitrary, { maxLength: 4 }),
    (words, again) => {
      const [one, other] = [createMemory().memory, createMemory().memory];
      one.learn([...words, ...again], 0);
      other.learn([...again, ...words.toReversed(), ...words], 0);
      const summarize = (memory: CrashMemory) =>
        [1, 2, 3].map((fingerprint) => memory.getPoints(fingerprint));
      return JSON.stringify(summarize(one)) ===
        JSON.stringify(summarize(other));
    },
  );
  fc.assert(property, { seed: 18, numRuns: 500 });
  t.pass();
});
