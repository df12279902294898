import test from "ava";
import { DeclineLimits } from "../../src/upstreams/decline_limits.ts";

test("the latest response of a service decides, whichever host received it", (t) => {
  const here = DeclineLimits.create();
  const there = DeclineLimits.create();
  here.record("s", 5, 1_000);
  there.merge(here.getStatements(1_200), 1_300);
  t.is(there.getLimit("s", 1_300), 5);
  here.record("s", undefined, 2_000);
  t.is(here.getLimit("s", 2_000), undefined);
  there.merge(here.getStatements(2_100), 2_150);
  t.is(there.getLimit("s", 2_150), undefined);
  here.merge([[0, 7, 100]], 2_200);
  t.is(here.getLimit("s", 2_200), undefined);
});

test("services that never stated a limit are not told to other hosts, and old statements expire", (t) => {
  const limits = DeclineLimits.create();
  limits.record("s", undefined, 0);
  t.deepEqual(limits.getStatements(0), []);
  limits.record("s", 5, 0);
  t.is(limits.getLimit("s", 10_001), undefined);
  t.deepEqual(limits.getStatements(10_001), []);
});

test("a change of the limit is told once, whichever host heard of it", (t) => {
  const changes: number[] = [];
  const limits = DeclineLimits.create((_service, limit) => changes.push(limit));
  limits.record("s", 5, 0);
  limits.record("s", 5, 100);
  limits.merge(limits.getStatements(200), 300);
  limits.record("s", undefined, 400);
  t.deepEqual(changes, [5, 0]);
});
