import test from "ava";
import { UpstreamHealth } from "../../src/upstreams/upstream_health.ts";

test("an upstream whose connection broke is out of reach until it is heard again", (t) => {
  const health = UpstreamHealth.create();
  t.true(health.isWithinReach(-Infinity, 0));
  health.note("broken", 1_000);
  t.false(health.isWithinReach(1_000, 1_001));
  t.true(health.isWithinReach(1_050, 1_051));
});

test("an upstream that is not heard is out of reach for a while only", (t) => {
  const health = UpstreamHealth.create();
  health.note("unreachable", 1_000);
  t.false(health.isWithinReach(900, 3_900));
  t.true(health.isWithinReach(900, 4_100));
});
