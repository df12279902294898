import type { Host } from "../configuration_service/host_schema.ts";
import {
  UpstreamClient,
  type UpstreamReport,
} from "../upstream/upstream_client.ts";
import { processTimeline, type Timeline } from "../clock/timeline.ts";
import { FairQueue } from "./fair_queue.ts";
import { ForeignLoad, REPORTS_LACK_MS } from "./foreign_load.ts";
import type { Job } from "./job.ts";

/** Reports that may fail in a row before an upstream counts as unreachable. */
const MISSED_REPORTS = 2;

/** What the state of an upstream is created with. */
export interface OwnedUpstreamOptions {
  /** Requests that may wait. */
  queueLimit: number;
  /** Silence of the upstream that counts as failure, in milliseconds. */
  stallTimeoutMs: number;
  /** The process's by default. */
  timeline?: Timeline;
}

/** The state that the owner keeps of one upstream. */
export class OwnedUpstream {
  /** Requests that wait. */
  readonly queue: FairQueue<Job>;
  /** Requests this router has running or is about to send. */
  readonly running = new Set<Job>();
  /** What other routers have running. */
  readonly foreign = ForeignLoad.create();
  /** Calls to the upstream. */
  readonly client: UpstreamClient;
  /** Whether this router owned it when it last looked. */
  isOwned = false;
  /** Monotonic milliseconds since which this router has owned it. */
  ownedSince = -Infinity;
  /** The last report, where one was read. */
  report: UpstreamReport | undefined;
  private missedReports = 0;
  private pauses = 0;
  private needsReport = false;
  private reportsLackUntil = -Infinity;

  private readonly timeline: Timeline;

  private constructor(
    /** The upstream as last listed. */
    public host: Host,
    options: OwnedUpstreamOptions,
  ) {
    this.queue = FairQueue.create<Job>(options.queueLimit);
    this.client = UpstreamClient.create(host, options.stallTimeoutMs);
    this.timeline = options.timeline ?? processTimeline;
  }

  /** Creates the state of an upstream.
   * @param host The upstream.
   * @param options Its limits. */
  static create(host: Host, options: OwnedUpstreamOptions): OwnedUpstream {
    return new OwnedUpstream(host, options);
  }

  /** Requests the upstream is taken to carry. */
  get load(): number {
    return this.running.size + this.foreign.load;
  }

  /** Requests the upstream carries at least, as peers are told. */
  get leastLoad(): number {
    return this.running.size + this.foreign.leastLoad;
  }

  /** Whether new work may go to it: listed as live, not leaving by its own word, answering, and not to be left alone. */
  get takesWork(): boolean {
    return this.isServing && this.backoffMs === 0;
  }

  /** Whether new work may go to it once a backoff that it asked for is over. */
  get isServing(): boolean {
    return this.host.state === "live" && this.report?.leaving !== true &&
      !this.client.availability.isLeaving && this.isReachable;
  }

  /** Whether it said in its answers that it wants no requests, for a time or as long as this start lasts. */
  get isLeftAlone(): boolean {
    return !this.client.availability.takesRequests(this.timeline.read());
  }

  /** Time that is left of the backoff that it asked for, in milliseconds, or 0. */
  get backoffMs(): number {
    return this.client.availability.getBackoffMs(this.timeline.read());
  }

  /** Whether it answers reports. */
  get isReachable(): boolean {
    return this.missedReports < MISSED_REPORTS;
  }

  /** Whether what is known of its load is from before a pause of this process. */
  get isLoadUnknown(): boolean {
    return this.needsReport;
  }

  /** Pauses of this process so far; a report that was asked for before the last of them says nothing of now. */
  get pauseCount(): number {
    return this.pauses;
  }

  /** Notes that this process was paused: another router may own the upstream by now and have started requests there.
   * @param now Monotonic milliseconds. */
  notePause(now: number): void {
    this.pauses += 1;
    this.needsReport = true;
    this.reportsLackUntil = now + REPORTS_LACK_MS;
    this.isOwned = false;
    this.foreign.startAfterPause(now);
  }

  /** Takes a report.
   * @param report The report, or nothing where it could not be read.
   * @param now Monotonic milliseconds. */
  takeReport(report: UpstreamReport | undefined, now: number): void {
    if (!report) {
      this.missedReports += 1;
      return;
    }
    this.missedReports = 0;
    if (now >= this.reportsLackUntil) this.needsReport = false;
    this.report = report;
    const resumed = [...this.running].filter((job) => job.offer.resumes).length;
    this.foreign.recordReport(report.inFlight, resumed, now);
  }

  /** Counts a job as running.
   * @param job The job.
   * @param now Monotonic milliseconds. */
  add(job: Job, now: number): void {
    this.running.add(job);
    if (job.offer.resumes) this.foreign.resumeOne();
    this.queue.started(job);
    this.foreign.recordOwn(this.running.size, now);
  }

  /** Counts a job as ended.
   * @param job The job.
   * @param now Monotonic milliseconds. */
  delete(job: Job, now: number): void {
    if (!this.running.delete(job)) return;
    this.queue.ended(job);
    this.foreign.recordOwn(this.running.size, now);
  }
}
