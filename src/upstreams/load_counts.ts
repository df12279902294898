import type { CountAges, LoadSnapshot } from "./load_snapshot.ts";
import type { Upstream } from "./upstream.ts";

/** Maximum age at which the load that an upstream reported is used, in milliseconds. */
const MAX_REPORT_AGE_MS = 400;

/** Time for which the sum of the hosts' counts is used if no new counts arrive, in milliseconds. Counts that have
 * expired by then are excluded from the next sum. */
const SUM_LIFETIME_MS = 100;

/** Hash of an upstream instance, and the requests that a host has running on it. */
export type LoadCount = [upstream: number, requests: number];

/** Request counts reported by a host. */
export interface HostLoadReport {
  /** Estimated monotonic milliseconds at which the host reported the counts. */
  reportedAt: number;
  /** Monotonic milliseconds at which the counts expire. */
  expiresAt: number;
  /** Requests by upstream; a missing upstream has none. */
  counts: readonly LoadCount[];
}

/** Tracks the requests on each upstream: exactly for this process, and as last reported for other hosts. */
export class LoadCounts {
  /** Latest report by host id. */
  private readonly hosts = new Map<string, HostLoadReport>();
  /** Requests of all other hosts by instance hash of the upstream. */
  private foreign = new Map<number, number>();
  /** Number of hosts in that sum, and the sum and the minimum of their report times. */
  private counted = { hosts: 0, reportedAtSum: 0, oldestReportedAt: Infinity };
  private sumExpiresAt = -Infinity;

  private constructor() {}

  /** Creates counts without other hosts. */
  static create(): LoadCounts {
    return new LoadCounts();
  }

  /** Records the counts that a host reported.
   * @param hostId Id of the host.
   * @param report The report. */
  record(hostId: string, report: HostLoadReport): void {
    this.hosts.set(hostId, report);
    this.sumExpiresAt = -Infinity;
  }

  /** Returns the requests of all hosts on an upstream: the sum of the hosts' counts, or the upstream's own recent
   * report if that is higher.
   * @param upstream The upstream.
   * @param now Monotonic milliseconds. */
  getTotalRequests(upstream: Upstream, now: number): number {
    const counted = upstream.ownRequests +
      this.getForeignRequests(upstream, now);
    const report = upstream.reported;
    const isRecent = report !== undefined &&
      now - report.at <= MAX_REPORT_AGE_MS;
    return isRecent ? Math.max(counted, report.requests) : counted;
  }

  /** Returns the known requests on an upstream and the age of that knowledge.
   * @param upstream The upstream.
   * @param now Monotonic milliseconds. */
  getSnapshot(upstream: Upstream, now: number): LoadSnapshot {
    const { reported: report } = upstream;
    return {
      ...this.getCountAges(now),
      own: upstream.ownRequests,
      foreign: this.getForeignRequests(upstream, now),
      reported: report?.requests,
      reportAgeMs: report && now - report.at,
    };
  }

  /** Returns the ages of the other hosts' counts.
   * @param now Monotonic milliseconds. */
  getCountAges(now: number): CountAges {
    if (now >= this.sumExpiresAt) this.updateSum(now);
    const { hosts, oldestReportedAt } = this.counted;
    if (hosts === 0) {
      return { countedHosts: 0, countAgeMs: 0, oldestCountAgeMs: 0 };
    }
    return {
      countedHosts: hosts,
      countAgeMs: this.getMeanCountAgeMs(now),
      oldestCountAgeMs: now - oldestReportedAt,
    };
  }

  /** Returns the mean age of the other hosts' counts, in milliseconds; 0 if none are used.
   * @param now Monotonic milliseconds. */
  getMeanCountAgeMs(now: number): number {
    if (now >= this.sumExpiresAt) this.updateSum(now);
    const { hosts, reportedAtSum } = this.counted;
    return hosts === 0 ? 0 : now - reportedAtSum / hosts;
  }

  /** Returns the counts of this process, for other hosts.
   * @param upstreams All upstreams. */
  getOwnCounts(upstreams: Iterable<Upstream>): LoadCount[] {
    const counts: LoadCount[] = [];
    for (const { instanceHash, ownRequests } of upstreams) {
      if (ownRequests > 0) counts.push([instanceHash, ownRequests]);
    }
    return counts;
  }

  /** Returns the requests of the other hosts on an upstream, as last told.
   * @param upstream The upstream.
   * @param now Monotonic milliseconds. */
  getForeignRequests(upstream: Upstream, now: number): number {
    if (now >= this.sumExpiresAt) this.updateSum(now);
    return this.foreign.get(upstream.instanceHash) ?? 0;
  }

  private updateSum(now: number): void {
    const sums = new Map<number, number>();
    const counted = { hosts: 0, reportedAtSum: 0, oldestReportedAt: Infinity };
    for (const [hostId, { expiresAt, reportedAt, counts }] of this.hosts) {
      if (now > expiresAt) {
        this.hosts.delete(hostId);
        continue;
      }
      counted.hosts += 1;
      counted.reportedAtSum += reportedAt;
      counted.oldestReportedAt = Math.min(counted.oldestReportedAt, reportedAt);
      for (const [instanceHash, requests] of counts) {
        sums.set(instanceHash, (sums.get(instanceHash) ?? 0) + requests);
      }
    }
    this.foreign = sums;
    this.counted = counted;
    this.sumExpiresAt = now + SUM_LIFETIME_MS;
  }
}
