import { readClock } from "../clock/clock.ts";
import type { Upstream } from "./upstream.ts";

/** Age up to which an upstream's own word of its load is used, in milliseconds. */
const REPORT_USED_FOR_MS = 400;

/** Time for which the sum of hosts' counts is used where nothing is told, in milliseconds; counts that are too old by
 * then are left out. */
const SUM_USED_FOR_MS = 100;

/** An upstream's short name, and the requests that a host has running there. */
export type LoadCount = [upstream: number, requests: number];

interface HostCounts {
  /** Monotonic milliseconds up to which the counts are used. */
  usedUntil: number;
  counts: readonly LoadCount[];
}

/** The requests on each upstream: exact for this process, and for other hosts as they last told. */
export class LoadCounts {
  /** By id of the host, what it last told. */
  private readonly hosts = new Map<string, HostCounts>();
  /** By short name of the upstream, the requests of all other hosts. */
  private foreign = new Map<number, number>();
  private summedUntil = -Infinity;

  private constructor() {}

  /** Creates counts without other hosts. */
  static create(): LoadCounts {
    return new LoadCounts();
  }

  /** Takes over what a host told.
   * @param hostId The host.
   * @param counts Its counts; an upstream that is missing has none.
   * @param usedUntil Monotonic milliseconds up to which they are used. */
  record(
    hostId: string,
    counts: readonly LoadCount[],
    usedUntil: number,
  ): void {
    this.hosts.set(hostId, { usedUntil, counts });
    this.summedUntil = -Infinity;
  }

  /** Requests on an upstream from all hosts: as hosts told, or where that is more as it told itself just now.
   * @param upstream The upstream. */
  getTotal(upstream: Upstream): number {
    const now = readClock();
    if (now >= this.summedUntil) this.sumUp(now);
    const foreign = this.foreign.get(upstream.shortName) ?? 0;
    const told = upstream.ownRequests + foreign;
    const report = upstream.reported;
    const isNew = report !== undefined &&
      now - report.at <= REPORT_USED_FOR_MS;
    return isNew ? Math.max(told, report.requests) : told;
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

  private sumUp(now: number): void {
    const sums = new Map<number, number>();
    for (const [hostId, { usedUntil, counts }] of this.hosts) {
      if (now > usedUntil) {
        this.hosts.delete(hostId);
        continue;
      }
      for (const [shortName, requests] of counts) {
        sums.set(shortName, (sums.get(shortName) ?? 0) + requests);
      }
    }
    this.foreign = sums;
    this.summedUntil = now + SUM_USED_FOR_MS;
  }
}
