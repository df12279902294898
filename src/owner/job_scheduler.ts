import type { PauseDetector } from "../clock/pause_detector.ts";
import type { Timeline } from "../clock/timeline.ts";
import type { Logger } from "../logging/logger.ts";
import type { FramePort } from "../peer/frame_port.ts";
import type { FrameOf } from "../peer/frame_schema.ts";
import type { UpstreamReport } from "../upstream/upstream_client.ts";
import {
  DEADLINE_PASSED,
  type Decline,
  describeDecline,
  findDecline,
} from "./decline.ts";
import { Job } from "./job.ts";
import { JobTable } from "./job_table.ts";
import type { OwnedUpstream } from "./owned_upstream.ts";
import { AdvertisedLoads } from "./advertised_loads.ts";
import type { UpstreamRegistry } from "./upstream_registry.ts";

/** Time within which an entry router must respond to a claim. */
const CLAIM_TIMEOUT_MS = 2_000;

/** Frames with which an entry router decides how an offered request continues. */
export type ReplyFrame =
  | FrameOf<"grant">
  | FrameOf<"withhold">
  | FrameOf<"cancel">;

/** Dependencies of the scheduler. */
export interface JobSchedulerOptions {
  registry: UpstreamRegistry;
  pauseDetector: Pick<PauseDetector, "isFresh">;
  logger: Logger;
  timeline: Timeline;
  streamWindowBytes: number;
  /** Sends the request of a job to its upstream; `finish` must be called when it has ended. */
  run: (upstream: OwnedUpstream, job: Job) => void;
  /** Cancels a running job. */
  cancel: (upstream: OwnedUpstream, job: Job) => void;
  /** Called when the load of an upstream has grown so much that it must be advertised to peers at once. */
  onLoadGrew: () => void;
}

/** Decides which offered requests are started, queued or declined. */
export class JobScheduler {
  private readonly jobs = JobTable.create();
  private readonly advertisedLoads = AdvertisedLoads.create();
  private isStopping = false;

  private constructor(private readonly options: JobSchedulerOptions) {}

  /** Creates a scheduler without jobs.
   * @param options Dependencies. */
  static create(options: JobSchedulerOptions): JobScheduler {
    return new JobScheduler(options);
  }

  /** Returns an unfinished job, or undefined if there is none.
   * @param port Connection to the entry router.
   * @param exchange Number of the exchange. */
  getJob(port: FramePort, exchange: number): Job | undefined {
    return this.jobs.getEntry(port, exchange)?.job;
  }

  /** Declines all further offers; accepted jobs continue. */
  stopAccepting(): void {
    this.isStopping = true;
  }

  /** Handles an offer from an entry router and responds on the same connection.
   * @param port Connection to the entry router.
   * @param frame The offer. */
  handleOffer(port: FramePort, frame: FrameOf<"offer">): void {
    const job = Job.create(
      port,
      frame,
      this.now,
      this.options.streamWindowBytes,
    );
    const upstream = this.options.registry.getUpstream(frame.upstreamId);
    const owner = upstream
      ? this.options.registry.findOtherOwner(upstream, frame.avoids)
      : undefined;
    if (owner) return job.send({ type: "declined", reason: "moved", owner });
    if (this.isStopping) {
      return job.send({ type: "declined", reason: "stale", owner: "" });
    }
    if (!upstream?.takesWork) {
      return job.send({ type: "declined", ...describeDecline(upstream) });
    }
    job.wasOwnedWhenOffered = upstream.isOwned;
    const mayStart = upstream.queue.length === 0 &&
      this.options.pauseDetector.isFresh() &&
      this.options.registry.hasRoom(upstream);
    if (mayStart || this.isAlreadyRunning(upstream, frame)) {
      this.jobs.add({ upstream, job });
      job.send({ type: "accepted", queued: false });
      return this.start(upstream, job);
    }
    const refusal = frame.mayQueue ? upstream.queue.push(job) : "full";
    if (refusal) {
      return job.send({ type: "declined", reason: refusal, owner: "" });
    }
    this.jobs.add({ upstream, job });
    job.send({ type: "accepted", queued: true });
  }

  /** Returns whether an offer resumes a request that, according to the upstream's own report, is still running for a
   * failed owner, so that it needs no additional slot. The estimate of what that owner left running is not sufficient
   * evidence, since those requests may have ended meanwhile. */
  private isAlreadyRunning(
    upstream: OwnedUpstream,
    frame: FrameOf<"offer">,
  ): boolean {
    return frame.resumes && upstream.foreign.minimumLoad > 0 &&
      this.options.pauseDetector.isFresh();
  }

  private start(upstream: OwnedUpstream, job: Job): void {
    upstream.addRunning(job, this.now);
    this.logStart(upstream, job);
    this.advertiseGrowth();
    if (job.offer.repeatable) return this.run(upstream, job);
    job.state = "claiming";
    job.send({ type: "claim" });
    this.options.timeline.after(
      CLAIM_TIMEOUT_MS,
      () => this.onClaimTimeout(job),
    );
  }

  private logStart(upstream: OwnedUpstream, job: Job): void {
    const { mean, cap } = this.options.registry.describeBound(upstream);
    const { requestId, avoids, resumes } = job.offer;
    this.options.logger.info({
      request: requestId,
      upstream: upstream.host.id,
      resumes,
      avoids: avoids.join(","),
      waitedMs: Math.round(this.now - job.offeredAt),
      running: upstream.running.size,
      foreign: upstream.foreign.load,
      mean: Number(mean.toFixed(2)),
      cap,
      isOwned: upstream.isOwned,
    }, "request_started");
  }

  private run(upstream: OwnedUpstream, job: Job): void {
    job.state = "running";
    this.options.run(upstream, job);
  }

  /** Handles a reply of an entry router.
   * @param port Connection to the entry router.
   * @param frame The reply. */
  handleReply(port: FramePort, frame: ReplyFrame): void {
    const entry = this.jobs.getEntry(port, frame.exchange);
    if (!entry) return;
    const { upstream, job } = entry;
    if (frame.type === "grant") {
      if (job.state === "claiming") this.handleGrant(upstream, job);
      return;
    }
    this.stopJob(upstream, job);
  }

  /** Sends a granted request, unless this process was paused since, so that the grant may be outdated, or the upstream
   * no longer accepts work. */
  private handleGrant(upstream: OwnedUpstream, job: Job): void {
    const reason = this.options.pauseDetector.isFresh()
      ? undefined
      : "the router was paused";
    const refusal = reason ??
      (upstream.takesWork ? undefined : "the upstream is leaving");
    if (!refusal) return this.run(upstream, job);
    job.send({ type: "failed", ran: "no", detail: refusal });
    this.finish(upstream, job);
  }

  private onClaimTimeout(job: Job): void {
    if (job.state !== "claiming") return;
    const entry = this.jobs.getEntry(job.port, job.offer.exchange);
    job.send({
      type: "failed",
      ran: "no",
      detail: "the entry did not answer the claim",
    });
    if (entry) this.finish(entry.upstream, job);
  }

  private stopJob(upstream: OwnedUpstream, job: Job): void {
    const wasRunning = job.state === "running";
    if (wasRunning && !job.offer.repeatable) return;
    if (!wasRunning) {
      return this.decline(upstream, job, DEADLINE_PASSED);
    }
    this.options.cancel(upstream, job);
    this.finish(upstream, job);
  }

  /** Finishes a job and starts queued jobs in its place.
   * @param upstream The upstream.
   * @param job The job. */
  finish(upstream: OwnedUpstream, job: Job): void {
    if (job.state === "ended") return;
    job.state = "ended";
    upstream.removeRunning(job, this.now);
    this.jobs.delete(job);
    this.startQueued(upstream);
  }

  /** Starts queued jobs while the upstream has room, and declines those that may not stay queued. */
  private startQueued(upstream: OwnedUpstream): void {
    while (upstream.queue.length > 0) {
      const mayStart = this.options.registry.hasRoom(upstream) &&
        this.options.pauseDetector.isFresh();
      const job = mayStart
        ? upstream.queue.take(this.options.registry.getCap(upstream))
        : undefined;
      if (!job) return;
      const decline = this.findDecline(upstream, job);
      if (decline) this.decline(upstream, job, decline);
      else this.start(upstream, job);
    }
  }

  private decline(
    upstream: OwnedUpstream,
    job: Job,
    decline: Decline,
  ): void {
    job.send({ type: "declined", ...decline });
    upstream.queue.remove(job);
    this.finish(upstream, job);
  }

  /** Stops the jobs of an entry router whose connection has closed.
   * @param port The connection. */
  handlePortClosed(port: FramePort): void {
    for (const { upstream, job } of this.jobs.getEntries(port)) {
      this.stopJob(upstream, job);
    }
  }

  /** Refreshes the ownership of upstreams, declines jobs that may not stay queued and starts those that have room. */
  sweep(): void {
    this.options.registry.refresh();
    for (const upstream of this.options.registry.getAll()) {
      for (const job of [...upstream.queue.items]) {
        const decline = this.findDecline(upstream, job);
        if (decline) this.decline(upstream, job, decline);
      }
      this.startQueued(upstream);
    }
  }

  /** Handles a report of an upstream.
   * @param upstream The upstream.
   * @param report The report, or undefined if it could not be read. */
  handleReport(
    upstream: OwnedUpstream,
    report: UpstreamReport | undefined,
  ): void {
    upstream.recordReport(report, this.now);
    this.startQueued(upstream);
  }

  private advertiseGrowth(): void {
    const loads = this.options.registry.getAll().map(({ host, load }) => ({
      upstreamId: host.id,
      load,
    }));
    if (this.advertisedLoads.update(loads)) this.options.onLoadGrew();
  }

  private findDecline(upstream: OwnedUpstream, job: Job): Decline | undefined {
    return findDecline(upstream, job, this.options.registry, this.now);
  }

  private get now(): number {
    return this.options.timeline.read();
  }
}
