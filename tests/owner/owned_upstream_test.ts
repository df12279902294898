import test from "ava";
import type { Host } from "../../src/configuration_service/host_schema.ts";
import type { Job } from "../../src/owner/job.ts";
import { OwnedUpstream } from "../../src/owner/owned_upstream.ts";

const HOST: Host = {
  id: "e-0",
  role: "engine",
  partner: "kilima",
  region: "dar",
  hall: "temeke",
  address: "127.0.0.1",
  port: 1,
  state: "live",
  models: [],
  slots: 8,
  checksFence: false,
};

const LIMITS = { queueLimit: 10, stallTimeoutMs: 1_000 };

function buildReport(inFlight: number) {
  return { inFlight, leaving: false, fence: 0 };
}

function startJobs(upstream: OwnedUpstream, count: number, now: number): Job[] {
  return Array.from({ length: count }, (_, index) => {
    const job = {
      customer: `c-${index}`,
      offer: { resumes: false },
    } as unknown as Job;
    upstream.addRunning(job, now);
    return job;
  });
}

test("own requests from before a pause are not subtracted from requests that another router started meanwhile", (t) => {
  const upstream = OwnedUpstream.create(HOST, LIMITS);
  const jobs = startJobs(upstream, 3, 0);
  upstream.recordReport(buildReport(3), 500);
  t.is(upstream.load, 3);

  const resumedAt = 5_000;
  upstream.handlePause(resumedAt);
  for (const job of jobs) upstream.removeRunning(job, resumedAt);
  upstream.recordReport(buildReport(4), resumedAt + 10);
  t.is(upstream.load, 4);
});

test("after a pause the load is unknown until a report is certain to include what another router started", (t) => {
  const upstream = OwnedUpstream.create(HOST, LIMITS);
  upstream.isOwned = true;
  upstream.recordReport(buildReport(0), 0);
  upstream.handlePause(5_000);
  t.true(upstream.isLoadUnknown);
  t.false(upstream.isOwned);
  upstream.recordReport(undefined, 5_010);
  t.true(upstream.isLoadUnknown);
  upstream.recordReport(buildReport(2), 5_020);
  t.true(upstream.isLoadUnknown);
  upstream.recordReport(buildReport(4), 6_010);
  t.false(upstream.isLoadUnknown);
  t.is(upstream.load, 4);
});

test("a takeover counts requests that the failed owner started without advertising them, while reports omit them", (t) => {
  const upstream = OwnedUpstream.create(HOST, LIMITS);
  const advertised = 3;
  const running = 4;
  upstream.foreign.beginTakeover(advertised, 0);
  t.true(upstream.load >= running);
  upstream.recordReport(buildReport(2), 50);
  t.true(upstream.load >= running);
  upstream.recordReport(buildReport(running), 1_500);
  t.is(upstream.load, running);
});

test("a resumed request is not counted twice after a takeover", (t) => {
  const upstream = OwnedUpstream.create(HOST, LIMITS);
  upstream.foreign.beginTakeover(3, 0);
  const before = upstream.load;
  const job = {
    customer: "c",
    offer: { resumes: true },
  } as unknown as Job;
  upstream.addRunning(job, 10);
  upstream.recordReport(buildReport(3), 50);
  t.is(upstream.load, before);
});

test("an upstream for which the failed owner advertised no load is used at once", (t) => {
  const upstream = OwnedUpstream.create(HOST, LIMITS);
  upstream.foreign.beginTakeover(0, 0);
  t.is(upstream.load, 0);
});
