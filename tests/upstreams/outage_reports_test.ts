import test from "ava";
import {
  type OutageReport,
  OutageReports,
} from "../../src/upstreams/outage_reports.ts";

const INSTANCE = 7;
const SELF = 1;

/** Creates a collection and records what it reports.
 * @param lastReceivedAt Time at which this host last heard from every instance. */
function createReports(lastReceivedAt = -Infinity) {
  const outages: number[] = [];
  const contradictions: number[] = [];
  const hearingHosts: number[] = [];
  const reports = OutageReports.create({
    reporter: SELF,
    getLastReceivedAt: () => lastReceivedAt,
    onPendingReports: () => undefined,
    onOutage: (instanceHash) => outages.push(instanceHash),
    onContradiction: (instanceHash) => contradictions.push(instanceHash),
    onHeardElsewhere: (_instanceHash, reporter) => hearingHosts.push(reporter),
  });
  return { reports, outages, contradictions, hearingHosts };
}

function failedAt(reporter: number): OutageReport {
  return [INSTANCE, reporter, true];
}

test("two hosts that could not connect are believed, a single one is not", (t) => {
  const { reports, outages } = createReports();
  reports.merge([failedAt(2), failedAt(2)], 0);
  t.deepEqual(outages, []);
  reports.merge([failedAt(3)], 0);
  t.deepEqual(outages, [INSTANCE]);
  t.deepEqual(reports.takePending(9), [failedAt(2), failedAt(3)]);
});

test("a host's own failure counts, and reports that no longer matter are not passed on", (t) => {
  const { reports, outages } = createReports();
  reports.recordFailure(INSTANCE, 0);
  reports.merge([failedAt(2), failedAt(3), failedAt(4)], 0);
  t.deepEqual(outages, [INSTANCE]);
  t.is(reports.takePending(9).length, 2);
  t.is(reports.takePending(9).length, 0);
});

test("old reports do not count", (t) => {
  const { reports, outages } = createReports();
  reports.merge([failedAt(2)], 0);
  reports.merge([failedAt(3)], 2_001);
  t.deepEqual(outages, []);
});

test("a host that has just heard from the upstream contradicts the report", (t) => {
  const { reports, outages } = createReports(1_000);
  reports.merge([failedAt(2), failedAt(3)], 1_100);
  t.deepEqual(outages, []);
  t.deepEqual(reports.takePending(9), [[INSTANCE, SELF, false]]);
});

test("a contradiction ends an outage, and reports are ignored for a while after it", (t) => {
  const { reports, outages, contradictions } = createReports();
  reports.merge([failedAt(2), failedAt(3)], 0);
  reports.merge([[INSTANCE, 4, false]], 100);
  t.deepEqual(contradictions, [INSTANCE]);
  reports.merge([failedAt(5), failedAt(6)], 200);
  t.deepEqual(outages, [INSTANCE]);
  reports.merge([failedAt(5), failedAt(6)], 3_200);
  t.deepEqual(outages, [INSTANCE, INSTANCE]);
});

test("a contradiction names the host that hears from the instance, also when nothing had been reported", (t) => {
  const { reports, hearingHosts } = createReports();
  reports.merge([[INSTANCE, 5, false]], 100);
  reports.merge([[INSTANCE, SELF, false]], 100);
  t.deepEqual(hearingHosts, [5]);
});
