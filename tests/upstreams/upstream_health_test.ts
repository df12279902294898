import test from "ava";
import { UpstreamHealth } from "../../src/upstreams/upstream_health.ts";

test("an upstream whose connection broke is unreachable until bytes are received from it again", (t) => {
  const health = UpstreamHealth.create();
  t.true(health.isReachable(-Infinity, 0));
  health.recordSignal("broken", 1_000);
  t.false(health.isReachable(1_000, 1_001));
  t.true(health.isReachable(1_050, 1_051));
});

test("an upstream without received bytes is unreachable only for a limited time", (t) => {
  const health = UpstreamHealth.create();
  health.recordSignal("unreachable", 1_000);
  t.false(health.isReachable(900, 3_900));
  t.true(health.isReachable(900, 4_100));
});
