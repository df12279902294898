import test from "ava";
import { LoadCounts } from "../../src/upstreams/load_counts.ts";
import { Upstream } from "../../src/upstreams/upstream.ts";
import { buildUpstream } from "../published/build_published.ts";

test("the requests of all hosts are added up, a host's newest word counting alone", (t) => {
  const upstream = Upstream.create(buildUpstream());
  const loads = LoadCounts.create();
  const now = performance.now();
  upstream.ownRequests = 2;
  loads.record("a", [[upstream.shortName, 5]], now);
  loads.record("a", [[upstream.shortName, 3]], now);
  loads.record("b", [[upstream.shortName, 1]], now);
  t.is(loads.getTotal(upstream), 6);
});

test("an upstream's own word counts where it is more than hosts told, while it is new", (t) => {
  const upstream = Upstream.create(buildUpstream());
  const loads = LoadCounts.create();
  upstream.ownRequests = 2;
  upstream.reported = { requests: 9, at: performance.now() };
  t.is(loads.getTotal(upstream), 9);
  upstream.reported = { requests: 1, at: performance.now() };
  t.is(loads.getTotal(upstream), 2);
  upstream.reported = { requests: 9, at: performance.now() - 60_000 };
  t.is(loads.getTotal(upstream), 2);
});
