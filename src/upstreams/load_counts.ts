import type { Upstream } from "./upstream.ts";

/** Age up to which a host's counts are used, in milliseconds: some rounds of what hosts tell each other. */
const USED_FOR_MS = 1_200;

/** Age up to which an upstream's own word of its load is used, in milliseconds. */
const REPORT_USED_FOR_MS = 400;

/** An upstream's short name, and the requests that a host has running there. */
export type LoadCount = [upstream: number, requests: number];

interface HostCounts {
  at: number;
  counts: readonly LoadCount[];
}

/** The requests on each upstream: exact for this process, and for other hosts as they last told. */
export class LoadCounts {
  /** By id of the host, what it last told. */
  private readonly hosts = new Map<string, HostCounts>();
  /** By short name of the upstream, the requests of all other hosts. */
  private foreign = new Map<number, number>();

  private constructor() {}

  /** Creates counts without other hosts. */
  static create(): LoadCounts {
    return new LoadCounts();
  }

  /** Takes over what a host told.
   * @param hostId The host.
   * @param counts Its counts; an upstream that is missing has none.
   * @param at Monotonic milliseconds at which it counted. */
  record(hostId: string, counts: readonly LoadCount[], at: number): void {
    this.hosts.set(hostId, { at, counts });
    this.sumUp(performance.now());
  }

  /** Requests on an upstream from all hosts: as hosts told, or where that is more as it told itself just now.
   * @param upstream The upstream. */
  getTotal(upstream: Upstream): number {
    const foreign = this.foreign.get(upstream.shortName) ?? 0;
    const told = upstream.ownRequests + foreign;
    const report = upstream.reported;
    const isNew = report !== undefined &&
      performance.now() - report.at <= REPORT_USED_FOR_MS;
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
    for (const [hostId, { at, counts }] of this.hosts) {
      if (now - at > USED_FOR_MS) {
        this.hosts.delete(hostId);
        continue;
      }
      for (const [shortName, requests] of counts) {
        sums.set(shortName, (sums.get(shortName) ?? 0) + requests);
      }
    }
    this.foreign = sums;
  }
}
