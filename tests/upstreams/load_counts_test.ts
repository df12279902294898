import test from "ava";
import { LoadCounts } from "../../src/upstreams/load_counts.ts";
import { Upstream } from "../../src/upstreams/upstream.ts";
import { buildUpstream } from "../published/build_published.ts";

test("the requests of all hosts are added up, with only the latest report of each host", (t) => {
  const upstream = Upstream.create(buildUpstream());
  const loads = LoadCounts.create();
  const inOneMinute = performance.now() + 60_000;
  upstream.ownRequests = 2;
  const record = (hostId: string, requests: number) =>
    loads.record(hostId, {
      reportedAt: performance.now(),
      expiresAt: inOneMinute,
      counts: [[upstream.instanceHash, requests]],
    });
  record("a", 5);
  record("a", 3);
  record("b", 1);
  t.is(loads.getTotalRequests(upstream, performance.now()), 6);
});

test("expired counts are excluded", (t) => {
  const upstream = Upstream.create(buildUpstream());
  const loads = LoadCounts.create();
  loads.record("a", {
    reportedAt: performance.now() - 2,
    expiresAt: performance.now() - 1,
    counts: [[upstream.instanceHash, 5]],
  });
  t.is(loads.getTotalRequests(upstream, performance.now()), 0);
});

test("an upstream's own report counts while it is recent and higher than the counts of the hosts", (t) => {
  const upstream = Upstream.create(buildUpstream());
  const loads = LoadCounts.create();
  upstream.ownRequests = 2;
  upstream.reported = { requests: 9, at: performance.now() };
  t.is(loads.getTotalRequests(upstream, performance.now()), 9);
  upstream.reported = { requests: 1, at: performance.now() };
  t.is(loads.getTotalRequests(upstream, performance.now()), 2);
  upstream.reported = { requests: 9, at: performance.now() - 60_000 };
  t.is(loads.getTotalRequests(upstream, performance.now()), 2);
});
