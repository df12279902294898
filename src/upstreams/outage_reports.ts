/** Number of hosts that must have failed to connect to an upstream before a host that has not tried believes it. */
const QUORUM = 2;
/** Time for which a report counts, in milliseconds. */
const REPORT_TTL_MS = 2_000;
/** Time after bytes of an upstream in which a host contradicts reports about it, in milliseconds: shorter than the
 * timeout after which a connection counts as failed. */
const HEARD_RECENTLY_MS = 200;
/** Time for which a contradicted upstream is believed to be up, in milliseconds. */
const CONTRADICTION_TTL_MS = 3_000;
/** Minimum time between two contradictions about the same upstream, in milliseconds. */
const MIN_CONTRADICTION_INTERVAL_MS = 250;
/** Maximum number of upstreams of which reports are kept. */
const MAX_UPSTREAMS = 2_048;

/** A report of one host about an upstream instance: hash of the instance, hash of the host, and whether the host could
 * not connect to it (true) or has just heard from it (false). */
export type OutageReport = [
  instanceHash: number,
  reporter: number,
  isOut: boolean,
];

/** Dependencies of {@link OutageReports}. */
export interface OutageReportsOptions {
  /** Hash that identifies this host. */
  reporter: number;
  /** Returns the monotonic milliseconds at which bytes of an instance were last received here. */
  getLastReceivedAt: (instanceHash: number) => number;
  /** Called when there are reports for other hosts. */
  onPendingReports: () => void;
  /** Called when enough hosts could not connect to an instance that this host has not heard since. */
  onOutage: (instanceHash: number) => void;
  /** Called when a host contradicts reports about an instance. */
  onContradiction: (instanceHash: number) => void;
  /** Called when another host reports that it has just heard from an instance, with the hash of that host. */
  onHeardElsewhere: (instanceHash: number, reporter: number) => void;
}

/** What is known of one upstream instance. */
interface InstanceReports {
  /** Monotonic milliseconds of the report of each host that could not connect. */
  outAt: Map<number, number>;
  /** Monotonic milliseconds until which reports are ignored because a host has heard from the instance. */
  contradictedUntil: number;
}

/** Collects the hosts' reports of failed connections to upstreams, for the moment when many upstreams go silent under
 * load: without reports every host finds out about every upstream by itself, at the cost of a connection timeout each.
 * Two hosts have to agree, and a host that still hears from the upstream contradicts them, so that hosts which are cut
 * off do not deprive the others of healthy upstreams. */
export class OutageReports {
  private readonly instances = new Map<number, InstanceReports>();
  private pending: OutageReport[] = [];

  private constructor(private readonly options: OutageReportsOptions) {}

  /** Creates an empty collection.
   * @param options Its dependencies. */
  static create(options: OutageReportsOptions): OutageReports {
    return new OutageReports(options);
  }

  /** Records that this host could not connect to an instance.
   * @param instanceHash Hash of the instance.
   * @param now Monotonic milliseconds. */
  recordFailure(instanceHash: number, now: number): void {
    this.merge([[instanceHash, this.options.reporter, true]], now);
  }

  /** Reports that this host has just connected to an instance.
   * @param instanceHash Hash of the instance.
   * @param now Monotonic milliseconds. */
  contradict(instanceHash: number, now: number): void {
    this.mergeContradiction([instanceHash, this.options.reporter, false], now);
  }

  /** Merges reports of other hosts; what is new is passed on.
   * @param reports The reports.
   * @param now Monotonic milliseconds. */
  merge(reports: readonly OutageReport[], now: number): void {
    for (const report of reports) {
      if (report[2]) this.mergeOutage(report, now);
      else this.mergeContradiction(report, now);
    }
  }

  /** Whether enough hosts could not connect to an instance a short time ago.
   * @param instanceHash Hash of the instance.
   * @param now Monotonic milliseconds. */
  isOut(instanceHash: number, now: number): boolean {
    return this.instances.has(instanceHash) &&
      this.getReports(instanceHash, now).outAt.size >= QUORUM;
  }

  /** Removes and returns the reports for other hosts.
   * @param limit Maximum number of reports. */
  takePending(limit: number): OutageReport[] {
    return this.pending.splice(0, limit);
  }

  private mergeOutage(report: OutageReport, now: number): void {
    const [instanceHash, reporter] = report;
    const unheardMs = now - this.options.getLastReceivedAt(instanceHash);
    if (unheardMs < HEARD_RECENTLY_MS) {
      const own = this.options.reporter;
      return this.mergeContradiction([instanceHash, own, false], now);
    }
    const { outAt, contradictedUntil } = this.getReports(instanceHash, now);
    if (now < contradictedUntil) return;
    if (outAt.has(reporter) || outAt.size >= QUORUM) return;
    outAt.set(reporter, now);
    this.enqueue(report);
    if (outAt.size === QUORUM) this.options.onOutage(instanceHash);
  }

  private mergeContradiction(report: OutageReport, now: number): void {
    const [instanceHash, reporter] = report;
    if (reporter !== this.options.reporter) {
      this.options.onHeardElsewhere(instanceHash, reporter);
    }
    const known = this.getReports(instanceHash, now);
    const contradictedAt = known.contradictedUntil - CONTRADICTION_TTL_MS;
    if (now - contradictedAt < MIN_CONTRADICTION_INTERVAL_MS) return;
    known.contradictedUntil = now + CONTRADICTION_TTL_MS;
    if (known.outAt.size >= QUORUM) {
      this.options.onContradiction(instanceHash);
    }
    known.outAt.clear();
    this.enqueue(report);
  }

  /** Returns the reports about an instance that still count. */
  private getReports(instanceHash: number, now: number): InstanceReports {
    const known = this.instances.get(instanceHash) ??
      { outAt: new Map<number, number>(), contradictedUntil: -Infinity };
    for (const [reporter, at] of known.outAt) {
      if (now - at > REPORT_TTL_MS) known.outAt.delete(reporter);
    }
    this.instances.delete(instanceHash);
    this.instances.set(instanceHash, known);
    if (this.instances.size > MAX_UPSTREAMS) {
      this.instances.delete(this.instances.keys().next().value!);
    }
    return known;
  }

  private enqueue(report: OutageReport): void {
    this.pending.push(report);
    this.options.onPendingReports();
  }
}
