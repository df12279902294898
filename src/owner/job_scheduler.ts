import type { PauseGuard } from "../clock/pause_guard.ts";
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
import { ToldLoads } from "./told_loads.ts";
import type { UpstreamRegistry } from "./upstream_registry.ts";

/** Time an entry has to answer a claim. */
const CLAIM_TIMEOUT_MS = 2_000;

/** Answers an entry may give on an exchange under way. */
export type ReplyFrame =
  | FrameOf<"grant">
  | FrameOf<"withhold">
  | FrameOf<"cancel">;

/** What the scheduler needs of the owner. */
export interface JobSchedulerOptions {
  registry: UpstreamRegistry;
  guard: Pick<PauseGuard, "isFresh">;
  logger: Logger;
  timeline: Timeline;
  streamWindowBytes: number;
  /** Sends a job's request to its upstream; `finish` is to be called when that has ended. */
  run: (upstream: OwnedUpstream, job: Job) => void;
  /** Stops the work of a job that is running. */
  cancel: (upstream: OwnedUpstream, job: Job) => void;
  /** Called when the own load grew so much that peers should know at once. */
  onLoadGrew: () => void;
}

/** Decides which offered requests start, wait or are declined. */
export class JobScheduler {
  private readonly jobs = JobTable.create();
  private readonly toldLoads = ToldLoads.create();
  private isStopping = false;

  private constructor(private readonly options: JobSchedulerOptions) {}

  /** Creates a scheduler without jobs.
   * @param options What it needs. */
  static create(options: JobSchedulerOptions): JobScheduler {
    return new JobScheduler(options);
  }

  /** Returns a job that is not over, or nothing.
   * @param port Connection to the entry.
   * @param exchange Number of the exchange. */
  getJob(port: FramePort, exchange: number): Job | undefined {
    return this.jobs.getEntry(port, exchange)?.job;
  }

  /** Declines all further offers; what was taken goes on. */
  stopAccepting(): void {
    this.isStopping = true;
  }

  /** Takes an offer from an entry; the answer goes to the port.
   * @param port Connection to the entry.
   * @param frame The offer. */
  takeOffer(port: FramePort, frame: FrameOf<"offer">): void {
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
    job.isForOwner = upstream.isOwned;
    const mayStart = upstream.queue.length === 0 &&
      this.options.guard.isFresh() &&
      this.options.registry.hasRoom(upstream);
    if (mayStart || this.isTakenOver(upstream, frame)) {
      this.jobs.add({ upstream, job });
      job.send({ type: "accepted", queued: false });
      return this.begin(upstream, job);
    }
    const refusal = frame.mayQueue ? upstream.queue.push(job) : "full";
    if (refusal) {
      return job.send({ type: "declined", reason: refusal, owner: "" });
    }
    this.jobs.add({ upstream, job });
    job.send({ type: "accepted", queued: true });
  }

  /** Whether an offer is for a request that the upstream, by its own report, still carries for a lost owner; it takes no further
   * room. What that owner may have left running is no proof: it may have ended since. */
  private isTakenOver(
    upstream: OwnedUpstream,
    frame: FrameOf<"offer">,
  ): boolean {
    return frame.resumes && upstream.foreign.leastLoad > 0 &&
      this.options.guard.isFresh();
  }

  private begin(upstream: OwnedUpstream, job: Job): void {
    upstream.add(job, this.now);
    this.logStart(upstream, job);
    this.noteGrowth();
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

  /** Takes an entry's reply.
   * @param port Connection to the entry.
   * @param frame The reply. */
  takeReply(port: FramePort, frame: ReplyFrame): void {
    const entry = this.jobs.getEntry(port, frame.exchange);
    if (!entry) return;
    const { upstream, job } = entry;
    if (frame.type === "grant") {
      if (job.state === "claiming") this.useGrant(upstream, job);
      return;
    }
    this.stopJob(upstream, job);
  }

  /** Sends the request unless this process was paused since the entry granted it. */
  private useGrant(upstream: OwnedUpstream, job: Job): void {
    const reason = this.options.guard.isFresh()
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

  /** Ends a job and starts others in its place.
   * @param upstream The upstream.
   * @param job The job. */
  finish(upstream: OwnedUpstream, job: Job): void {
    if (job.state === "over") return;
    job.state = "over";
    upstream.delete(job, this.now);
    this.jobs.delete(job);
    this.pump(upstream);
  }

  /** Starts waiting requests while there is room, and drops those nobody waits for. */
  private pump(upstream: OwnedUpstream): void {
    while (upstream.queue.length > 0) {
      const mayStart = this.options.registry.hasRoom(upstream) &&
        this.options.guard.isFresh();
      const job = mayStart
        ? upstream.queue.take(this.options.registry.getCap(upstream))
        : undefined;
      if (!job) return;
      const decline = this.findDecline(upstream, job);
      if (decline) this.decline(upstream, job, decline);
      else this.begin(upstream, job);
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

  /** Drops the work of an entry whose connection ended.
   * @param port The connection. */
  dropPort(port: FramePort): void {
    for (const { upstream, job } of this.jobs.getEntries(port)) {
      this.stopJob(upstream, job);
    }
  }

  /** Takes over upstreams, declines what may wait no longer and starts what has room. */
  sweep(): void {
    this.options.registry.refresh();
    for (const upstream of this.options.registry.getAll()) {
      for (const job of [...upstream.queue.items]) {
        const decline = this.findDecline(upstream, job);
        if (decline) this.decline(upstream, job, decline);
      }
      this.pump(upstream);
    }
  }

  /** Takes a report of an upstream.
   * @param upstream The upstream.
   * @param report The report, or nothing where it could not be read. */
  takeReport(
    upstream: OwnedUpstream,
    report: UpstreamReport | undefined,
  ): void {
    upstream.takeReport(report, this.now);
    this.pump(upstream);
  }

  private noteGrowth(): void {
    const loads = this.options.registry.getAll().map(({ host, load }) => ({
      upstreamId: host.id,
      load,
    }));
    if (this.toldLoads.note(loads)) this.options.onLoadGrew();
  }

  private findDecline(upstream: OwnedUpstream, job: Job): Decline | undefined {
    return findDecline(upstream, job, this.options.registry, this.now);
  }

  private get now(): number {
    return this.options.timeline.read();
  }
}
