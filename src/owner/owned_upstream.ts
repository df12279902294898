import type { Host } from "../configuration_service/host_schema.ts";
import {
  UpstreamClient,
  type UpstreamReport,
} from "../upstream/upstream_client.ts";
import { processTimeline, type Timeline } from "../clock/timeline.ts";
import { FairQueue } from "./fair_queue.ts";
import {
  ForeignLoadEstimator,
  REPORT_CATCH_UP_MS,
} from "./foreign_load_estimator.ts";
import type { Job } from "./job.ts";
import type { Pauses } from "../upstreams/check_upstream_runs.ts";

/** Number of consecutive failed reports from which an upstream counts as unreachable. */
const MISSED_REPORT_LIMIT = 2;

/** Options of the state of an upstream. */
export interface OwnedUpstreamOptions {
  /** Maximum number of queued requests. */
  queueLimit: number;
  /** Time without data from the upstream after which a request to it fails, in milliseconds. */
  stallTimeoutMs: number;
  /** Detects pauses of this process. */
  pauses?: Pauses;
  /** Defaults to the timeline of the process. */
  timeline?: Timeline;
}

/** The state that a router keeps of an upstream that it owns or has work on. */
export class OwnedUpstream {
  /** Queued requests. */
  readonly queue: FairQueue<Job>;
  /** Requests that this router has running or is about to send. */
  readonly running = new Set<Job>();
  /** Estimates the requests that other routers have running. */
  readonly foreign = ForeignLoadEstimator.create();
  /** Client for requests to the upstream. */
  readonly client: UpstreamClient;
  /** Whether this router owned the upstream when ownership was last refreshed. */
  isOwned = false;
  /** Monotonic time in milliseconds at which this router became the owner. */
  ownedSince = -Infinity;
  /** The last report, if one was read. */
  report: UpstreamReport | undefined;
  private missedReports = 0;
  private pauses = 0;
  private needsReport = false;
  private reportsIncompleteUntil = -Infinity;

  private readonly timeline: Timeline;

  private constructor(
    /** The upstream's entry in the host list, as last read. */
    public host: Host,
    options: OwnedUpstreamOptions,
  ) {
    this.queue = FairQueue.create<Job>(options.queueLimit);
    const { stallTimeoutMs, pauses } = options;
    this.client = UpstreamClient.create(host, stallTimeoutMs, pauses);
    this.timeline = options.timeline ?? processTimeline;
  }

  /** Creates the state of an upstream.
   * @param host The upstream.
   * @param options Limits of the upstream. */
  static create(host: Host, options: OwnedUpstreamOptions): OwnedUpstream {
    return new OwnedUpstream(host, options);
  }

  /** Estimated number of requests in flight on the upstream. */
  get load(): number {
    return this.running.size + this.foreign.load;
  }

  /** Lower bound of the number of requests in flight on the upstream, as advertised to peers. */
  get minimumLoad(): number {
    return this.running.size + this.foreign.minimumLoad;
  }

  /** Whether the upstream accepts new work: it is serving and not in a backoff that it asked for. */
  get takesWork(): boolean {
    return this.isServing && this.backoffMs === 0;
  }

  /** Whether the upstream is listed as live, has not announced that it is leaving, and is reachable. Unlike
   * `takesWork`, this ignores a backoff that it asked for. */
  get isServing(): boolean {
    return this.host.state === "live" && this.report?.leaving !== true &&
      !this.client.availability.isLeaving && this.isReachable;
  }

  /** Whether the upstream asked in its responses for no requests, either for a time or until it is started again. */
  get declinesRequests(): boolean {
    return !this.client.availability.acceptsRequests(this.timeline.read());
  }

  /** Remaining time of the backoff that the upstream asked for, in milliseconds, or 0. */
  get backoffMs(): number {
    return this.client.availability.getBackoffMs(this.timeline.read());
  }

  /** Whether the upstream responds to requests for its report. */
  get isReachable(): boolean {
    return this.missedReports < MISSED_REPORT_LIMIT;
  }

  /** Whether the known load dates from before a pause of this process. */
  get isLoadUnknown(): boolean {
    return this.needsReport;
  }

  /** Number of pauses of this process so far. A report that was requested before the last pause is out of date. */
  get pauseCount(): number {
    return this.pauses;
  }

  /** Handles a pause of this process: another router may have become the owner meanwhile and have started requests.
   * @param now Monotonic time in milliseconds. */
  handlePause(now: number): void {
    this.pauses += 1;
    this.needsReport = true;
    this.reportsIncompleteUntil = now + REPORT_CATCH_UP_MS;
    this.isOwned = false;
    this.foreign.handlePause(now);
  }

  /** Records a report of the upstream.
   * @param report The report, or undefined if it could not be read.
   * @param now Monotonic time in milliseconds. */
  recordReport(report: UpstreamReport | undefined, now: number): void {
    if (!report) {
      this.missedReports += 1;
      return;
    }
    this.missedReports = 0;
    if (now >= this.reportsIncompleteUntil) this.needsReport = false;
    this.report = report;
    const resumed = [...this.running].filter((job) => job.offer.resumes).length;
    this.foreign.recordReport(report.inFlight, resumed, now);
  }

  /** Counts a job as running.
   * @param job The job.
   * @param now Monotonic time in milliseconds. */
  addRunning(job: Job, now: number): void {
    this.running.add(job);
    if (job.offer.resumes) this.foreign.recordResumed();
    this.queue.markStarted(job);
    this.foreign.recordOwnLoad(this.running.size, now);
  }

  /** Counts a job as no longer running.
   * @param job The job.
   * @param now Monotonic time in milliseconds. */
  removeRunning(job: Job, now: number): void {
    if (!this.running.delete(job)) return;
    this.queue.markEnded(job);
    this.foreign.recordOwnLoad(this.running.size, now);
  }
}
