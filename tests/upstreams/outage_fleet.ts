import { Random } from "../../src/random/random.ts";
import {
  type OutageReport,
  OutageReports,
} from "../../src/upstreams/outage_reports.ts";
import { UpstreamHealth } from "../../src/upstreams/upstream_health.ts";
import { VirtualTimeline } from "../clock/virtual_timeline.ts";

/** Time after which a connection counts as failed, in milliseconds. */
const CONNECT_TIMEOUT_MS = 450;
/** Time in which a connection is established, in milliseconds. */
const CONNECT_MS = 2;
/** Interval between two requests of a host, in milliseconds. */
const REQUEST_INTERVAL_MS = 250;
/** Interval at which a host with a stream hears from its upstream, in milliseconds. */
const EVENT_INTERVAL_MS = 60;
/** Minimum and maximum time until reports reach another host, in milliseconds. */
const REPORT_DELAY_MS = [25, 60] as const;
/** Fraction of the reports that are lost. */
const REPORT_LOSS = 0.05;

/** Options of an {@link OutageFleet}. */
export interface OutageFleetOptions {
  seed: number;
  hosts: number;
  upstreams: number;
  /** Whether hosts send reports to each other. */
  shares: boolean;
  /** Whether a host can reach an upstream. */
  canReach: (host: number, upstream: number) => boolean;
  /** Host that has a stream from an upstream all the time; undefined if none has. */
  findListener?: (upstream: number) => number | undefined;
}

/** Fleet in virtual time whose hosts send requests to random upstreams that they have not ejected. */
export class OutageFleet {
  /** Requests that failed because their upstream could not be reached. */
  failedRequests = 0;
  private readonly timeline = VirtualTimeline.create();
  private readonly random: Random;
  private readonly health: UpstreamHealth[][];
  private readonly lastReceivedAt: number[][];
  private readonly reports: OutageReports[];

  private constructor(private readonly options: OutageFleetOptions) {
    const { hosts, upstreams, seed } = options;
    const createTable = <Value>(create: () => Value) =>
      Array.from(
        { length: hosts },
        () => Array.from({ length: upstreams }, create),
      );
    this.random = Random.create(seed);
    this.health = createTable(() => UpstreamHealth.create());
    this.lastReceivedAt = createTable(() => -Infinity);
    this.reports = Array.from(
      { length: hosts },
      (_, host) => this.createReports(host),
    );
    this.timeline.every(EVENT_INTERVAL_MS, () => this.receiveEvents());
    for (let host = 0; host < hosts; host++) {
      this.timeline.after(
        this.random.integer(0, REQUEST_INTERVAL_MS),
        () =>
          this.timeline.every(
            REQUEST_INTERVAL_MS,
            () => this.sendRequest(host),
          ),
      );
    }
  }

  /** Creates a fleet.
   * @param options Its options. */
  static create(options: OutageFleetOptions): OutageFleet {
    return new OutageFleet(options);
  }

  /** Advances the time.
   * @param until Virtual milliseconds. */
  runUntil(until: number): void {
    this.timeline.runUntil(until);
  }

  /** Counts the upstreams that hosts have ejected although they can reach them, over all hosts. */
  countWrongEjections(): number {
    const now = this.timeline.read();
    return this.health.flatMap((row, host) =>
      row.filter((health, upstream) =>
        this.options.canReach(host, upstream) && health.isEjected(now)
      )
    ).length;
  }

  private createReports(host: number): OutageReports {
    const reports: OutageReports = OutageReports.create({
      reporter: host,
      getLastReceivedAt: (upstream) => this.lastReceivedAt[host]![upstream]!,
      onPendingReports: () => this.send(host, reports.takePending(100)),
      onOutage: (upstream) => {
        const health = this.health[host]![upstream]!;
        health.recordReportedOutage(this.timeline.read());
        this.check(host, upstream);
      },
      onContradiction: (upstream) =>
        this.health[host]![upstream]!.clearReportedOutage(),
      onHeardElsewhere: () => undefined,
    });
    return reports;
  }

  /** Connects to an upstream that is reported to be out; a connection that is established contradicts the reports. */
  private check(host: number, upstream: number): void {
    if (!this.options.canReach(host, upstream)) return;
    this.timeline.after(CONNECT_MS, () => {
      this.health[host]![upstream]!.clearReportedOutage();
      this.reports[host]!.contradict(upstream, this.timeline.read());
    });
  }

  private send(from: number, batch: readonly OutageReport[]): void {
    if (!this.options.shares || batch.length === 0) return;
    for (let host = 0; host < this.options.hosts; host++) {
      if (host === from || this.random.fraction() < REPORT_LOSS) continue;
      this.timeline.after(
        this.random.integer(...REPORT_DELAY_MS),
        () => this.reports[host]!.merge(batch, this.timeline.read()),
      );
    }
  }

  private sendRequest(host: number): void {
    const now = this.timeline.read();
    const usable = this.health[host]!.flatMap((health, upstream) =>
      health.isEjected(now) ? [] : [upstream]
    );
    const [upstream] = this.random.shuffle(usable);
    if (upstream === undefined) return;
    if (this.options.canReach(host, upstream)) {
      this.lastReceivedAt[host]![upstream] = now;
      this.health[host]![upstream]!.recordSignal("good", now);
    } else {
      this.timeline.after(
        CONNECT_TIMEOUT_MS,
        () => this.fail(host, upstream),
      );
    }
  }

  private fail(host: number, upstream: number): void {
    const now = this.timeline.read();
    this.failedRequests += 1;
    this.health[host]![upstream]!.recordSignal("unreachable", now);
    this.reports[host]!.recordFailure(upstream, now);
  }

  private receiveEvents(): void {
    for (let upstream = 0; upstream < this.options.upstreams; upstream++) {
      const listener = this.options.findListener?.(upstream);
      if (listener === undefined) continue;
      if (!this.options.canReach(listener, upstream)) continue;
      this.lastReceivedAt[listener]![upstream] = this.timeline.read();
    }
  }
}
