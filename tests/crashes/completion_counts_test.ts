import test from "ava";
import { CompletionCounts } from "../../src/crashes/completion_counts.ts";

const PART = 7;

test("completions shortly before a part was in flight on a crashed upstream count", (t) => {
  const counts = CompletionCounts.create(1);
  counts.record([PART], 0);
  counts.record([PART], 70_000);
  counts.track([PART], 80_000);
  counts.record([PART], 90_000);
  t.is(counts.getCount(PART), 3);
  const late = CompletionCounts.create(1);
  late.record([PART], 0);
  late.track([PART], 200_000);
  t.is(late.getCount(PART), 0);
});

test("a count is announced when it has doubled, and counts of other processes are added and passed on once", (t) => {
  const counts = CompletionCounts.create(1);
  counts.track([PART], 0);
  counts.announce(PART);
  t.false(counts.hasPending);
  for (let count = 0; count < 4; count++) {
    counts.record([PART], 0);
    counts.announce(PART);
  }
  t.deepEqual(counts.takePending(10), [[PART, 1, 4]]);
  counts.record([PART], 0);
  counts.announce(PART);
  t.false(counts.hasPending);
  t.true(counts.merge([PART, 2, 3]));
  t.false(counts.merge([PART, 2, 3]));
  t.false(counts.merge([PART, 1, 99]));
  t.is(counts.getCount(PART), 8);
  t.deepEqual(counts.takePending(10), [[PART, 2, 3]]);
});

test("counts of parts that are not tracked are ignored", (t) => {
  const counts = CompletionCounts.create(1);
  t.false(counts.merge([PART, 2, 3]));
  counts.track([PART], 0);
  t.true(counts.merge([PART, 2, 3]));
  counts.retain(() => false);
  t.is(counts.getCount(PART), 0);
});
