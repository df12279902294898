import type { CountAges, LoadSnapshot } from "./load_snapshot.ts";
import type { Upstream } from "./upstream.ts";

/** Age up to which an upstream's own word of its load is used, in milliseconds. */
const MAX_REPORT_AGE_MS = 400;

/** Time for which the sum of hosts' counts is used where nothing is told, in milliseconds; counts that are too old by
 * then are left out. */
const SUM_LIFETIME_MS = 100;

/** An upstream's short name, and the requests that a host has running there. */
export type LoadCount = [upstream: number, requests: number];

/** What a host told of its requests. */
export interface HostLoadReport {
  /** Monotonic milliseconds at which the host told this, as far as is known. */
  toldAt: number;
  /** Monotonic milliseconds up to which the counts are used. */
  usedUntil: number;
  /** Its requests; an upstream that is missing has none. */
  counts: readonly LoadCount[];
}

/** The requests on each upstream: exact for this process, and for other hosts as they last told. */
export class LoadCounts {
  /** By id of the host, what it last told. */
  private readonly hosts = new Map<string, HostLoadReport>();
  /** By short name of the upstream, the requests of all other hosts. */
  private foreign = new Map<number, number>();
  /** Hosts whose counts are in that sum, and the sum and the least of the moments at which they told. */
  private counted = { hosts: 0, toldAtSum: 0, firstToldAt: Infinity };
  private sumExpiresAt = -Infinity;

  private constructor() {}

  /** Creates counts without other hosts. */
  static create(): LoadCounts {
    return new LoadCounts();
  }

  /** Takes over what a host told.
   * @param hostId The host.
   * @param told What it told. */
  record(hostId: string, told: HostLoadReport): void {
    this.hosts.set(hostId, told);
    this.sumExpiresAt = -Infinity;
  }

  /** Requests on an upstream from all hosts: as hosts told, or where that is more as it told itself just now.
   * @param upstream The upstream.
   * @param now Monotonic milliseconds. */
  getTotalRequests(upstream: Upstream, now: number): number {
    const told = upstream.ownRequests + this.getForeignRequests(upstream, now);
    const report = upstream.reported;
    const isNew = report !== undefined &&
      now - report.at <= MAX_REPORT_AGE_MS;
    return isNew ? Math.max(told, report.requests) : told;
  }

  /** What is known of the requests on an upstream, with its age.
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

  /** How old other hosts' counts are.
   * @param now Monotonic milliseconds. */
  getCountAges(now: number): CountAges {
    if (now >= this.sumExpiresAt) this.updateSum(now);
    const { hosts, toldAtSum, firstToldAt } = this.counted;
    if (hosts === 0) {
      return { countedHosts: 0, countAgeMs: 0, oldestCountAgeMs: 0 };
    }
    return {
      countedHosts: hosts,
      countAgeMs: now - toldAtSum / hosts,
      oldestCountAgeMs: now - firstToldAt,
    };
  }

  /** Counts of this process, for other hosts.
   * @param upstreams All upstreams. */
  getOwn(upstreams: Iterable<Upstream>): LoadCount[] {
    const counts: LoadCount[] = [];
    for (const { shortName, ownRequests } of upstreams) {
      if (ownRequests > 0) counts.push([shortName, ownRequests]);
    }
    return counts;
  }

  private getForeignRequests(upstream: Upstream, now: number): number {
    if (now >= this.sumExpiresAt) this.updateSum(now);
    return this.foreign.get(upstream.shortName) ?? 0;
  }

  private updateSum(now: number): void {
    const sums = new Map<number, number>();
    const counted = { hosts: 0, toldAtSum: 0, firstToldAt: Infinity };
    for (const [hostId, { usedUntil, toldAt, counts }] of this.hosts) {
      if (now > usedUntil) {
        this.hosts.delete(hostId);
        continue;
      }
      counted.hosts += 1;
      counted.toldAtSum += toldAt;
      counted.firstToldAt = Math.min(counted.firstToldAt, toldAt);
      for (const [shortName, requests] of counts) {
        sums.set(shortName, (sums.get(shortName) ?? 0) + requests);
      }
    }
    this.foreign = sums;
    this.counted = counted;
    this.sumExpiresAt = now + SUM_LIFETIME_MS;
  }
}
