import test from "ava";
import { HoldTrials } from "../../src/crashes/hold_trials.ts";

test("one trial is in progress at a time, and the next starts a while after one that failed", (t) => {
  const trials = HoldTrials.create();
  t.true(trials.tryStart("1", "a", 0));
  t.false(trials.tryStart("1", "b", 10_000));
  trials.recordEnd("a", 10_000);
  t.false(trials.tryStart("1", "c", 14_999));
  t.true(trials.tryStart("1", "c", 15_000));
});

test("each trial that completes doubles how many may be in progress, until one fails", (t) => {
  const trials = HoldTrials.create();
  t.true(trials.tryStart("1", "a", 0));
  trials.recordCompletion("a");
  t.true(trials.tryStart("1", "b", 1));
  t.true(trials.tryStart("1", "c", 1));
  t.false(trials.tryStart("1", "d", 1));
  trials.recordEnd("b", 2);
  trials.recordCompletion("c");
  t.false(trials.tryStart("1", "d", 2));
  t.true(trials.tryStart("1", "d", 5_002));
});

test("a trial without an outcome ends after a while", (t) => {
  const trials = HoldTrials.create();
  t.true(trials.tryStart("1", "a", 0));
  t.true(trials.tryStart("1", "b", 60_000));
});
