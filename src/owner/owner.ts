import { readClock } from "../clock/clock.ts";
import { Actor } from "../actors/actor.ts";
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
import type { OwnerOptions } from "./owner_options.ts";
import type { OwnedUpstream } from "./owned_upstream.ts";
import { ToldLoads } from "./told_loads.ts";
import { UpstreamRegistry } from "./upstream_registry.ts";
import type { UpstreamStatus } from "./upstream_status.ts";
import { cancelOnEngine, workOn } from "./work_on.ts";

/** Time an entry has to answer a claim. */
const CLAIM_TIMEOUT_MS = 2_000;
/** Time after which an upstream that is neither owned nor used is forgotten. */
const SWEEP_INTERVAL_MS = 250;

/** Answers an entry may give on an exchange under way. */
type ReplyFrame = FrameOf<"grant"> | FrameOf<"withhold"> | FrameOf<"cancel">;

type OwnerMessages = {
  offer: { port: FramePort; frame: FrameOf<"offer"> };
  reply: { port: FramePort; frame: ReplyFrame };
  portClosed: FramePort;
  claimTimeout: Job;
  finished: { upstream: OwnedUpstream; job: Job };
  report: { upstream: OwnedUpstream; report: UpstreamReport | undefined };
  sweep: null;
};

/** The task that owns upstreams: it alone decides when a request is sent to one of them. */
export class Owner {
  private readonly registry: UpstreamRegistry;
  private readonly jobs = JobTable.create();
  private readonly actor: Actor<OwnerMessages>;
  private readonly timers: NodeJS.Timeout[];
  private readonly toldLoads = ToldLoads.create();
  private isStopping = false;

  private constructor(private readonly options: OwnerOptions) {
    this.registry = UpstreamRegistry.create({
      ...options,
      onReport: (upstream, report) =>
        this.actor.tell("report", { upstream, report }),
    });
    this.actor = Actor.create<OwnerMessages>(options.system, "owner", {
      offer: ({ port, frame }) => this.takeOffer(port, frame),
      reply: ({ port, frame }) => this.takeReply(port, frame),
      portClosed: (port) => this.dropPort(port),
      claimTimeout: (job) => this.onClaimTimeout(job),
      finished: ({ upstream, job }) => this.finish(upstream, job),
      report: ({ upstream, report }) => this.takeReport(upstream, report),
      sweep: () => this.sweep(),
    }, options.logger);
    this.timers = [
      setInterval(() => this.actor.tell("sweep", null), SWEEP_INTERVAL_MS),
      setInterval(
        () => this.registry.readReports(),
        options.settings.routing.reportIntervalMs,
      ),
    ];
  }

  /** Creates an owner without upstreams.
   * @param options What it needs. */
  static create(options: OwnerOptions): Owner {
    return new Owner(options);
  }

  /** Takes an offer from an entry; the answer goes to the port.
   * @param port Connection to the entry.
   * @param frame The offer. */
  offer(port: FramePort, frame: FrameOf<"offer">): void {
    this.actor.tell("offer", { port, frame });
  }

  /** Takes an entry's reply.
   * @param port Connection to the entry.
   * @param frame The reply. */
  reply(port: FramePort, frame: ReplyFrame): void {
    this.actor.tell("reply", { port, frame });
  }

  /** Records that a caller has taken bytes; goes to the stream at once.
   * @param port Connection to the entry.
   * @param frame The number of bytes. */
  credit(port: FramePort, frame: FrameOf<"credit">): void {
    this.jobs.getEntry(port, frame.exchange)?.job.credit(frame.bytes);
  }

  /** Drops the work of an entry whose connection ended.
   * @param port The connection. */
  portClosed(port: FramePort): void {
    this.actor.tell("portClosed", port);
  }

  /** Loads of the upstreams this router owns: hash of the id, and the number. */
  getLoads(): [number, number][] {
    return this.registry.getLoads();
  }

  /** Requests this router has running or waiting, over all upstreams. */
  get openJobs(): number {
    let count = 0;
    for (const upstream of this.registry.getAll()) {
      count += upstream.running.size + upstream.queue.length;
    }
    return count;
  }

  /** What operators see of each upstream. */
  describe(): UpstreamStatus[] {
    return this.registry.getAll().map((upstream) => ({
      id: upstream.host.id,
      owned: upstream.isOwned,
      running: upstream.running.size,
      foreign: upstream.foreign.load,
      waiting: upstream.queue.length,
      cap: this.registry.getCap(upstream),
      takesWork: upstream.takesWork,
    }));
  }

  /** Notes that this process was paused; what it knew of its upstreams' loads is no longer used. */
  notePause(): void {
    this.registry.notePause();
  }

  /** Declines all further offers; what was taken goes on. */
  stopAccepting(): void {
    this.isStopping = true;
  }

  /** Stops all work. */
  async close(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    this.actor.close();
    for (const upstream of this.registry.getAll()) {
      for (const job of upstream.running) job.abort();
    }
    await this.registry.close();
  }

  private takeOffer(port: FramePort, frame: FrameOf<"offer">): void {
    const job = Job.create(
      port,
      frame,
      readClock(),
      this.options.settings.limits.streamWindowBytes,
    );
    const upstream = this.registry.getUpstream(frame.upstreamId);
    const owner = upstream
      ? this.registry.findOtherOwner(upstream, frame)
      : undefined;
    if (owner) return job.send({ type: "declined", reason: "moved", owner });
    if (this.isStopping || !this.options.guard.isFresh()) {
      return job.send({ type: "declined", reason: "stale", owner: "" });
    }
    if (!upstream?.takesWork) {
      return job.send({ type: "declined", ...describeDecline(upstream) });
    }
    const mayStart = upstream.queue.length === 0 &&
      this.registry.hasRoom(upstream);
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

  /** Whether an offer is for a request that the upstream already carries for a lost owner; it takes no further room. */
  private isTakenOver(
    upstream: OwnedUpstream,
    frame: FrameOf<"offer">,
  ): boolean {
    return frame.resumes && upstream.foreign.load > 0;
  }

  private begin(upstream: OwnedUpstream, job: Job): void {
    upstream.add(job, readClock());
    this.logStart(upstream, job);
    this.noteGrowth();
    if (job.offer.repeatable) return this.run(upstream, job);
    job.state = "claiming";
    job.send({ type: "claim" });
    setTimeout(() => this.actor.tell("claimTimeout", job), CLAIM_TIMEOUT_MS)
      .unref();
  }

  private logStart(upstream: OwnedUpstream, job: Job): void {
    const { mean, cap } = this.registry.describeBound(upstream);
    const { requestId, avoids, resumes } = job.offer;
    this.options.logger.info({
      request: requestId,
      upstream: upstream.host.id,
      resumes,
      avoids: avoids.join(","),
      waitedMs: Math.round(readClock() - job.offeredAt),
      running: upstream.running.size,
      foreign: upstream.foreign.load,
      mean: Number(mean.toFixed(2)),
      cap,
      isOwned: upstream.isOwned,
    }, "request_started");
  }

  private run(upstream: OwnedUpstream, job: Job): void {
    job.state = "running";
    void workOn(upstream, job, this.options.logger).finally(() =>
      this.actor.tell("finished", { upstream, job })
    );
  }

  private takeReply(port: FramePort, frame: ReplyFrame): void {
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
    job.abort();
    cancelOnEngine(upstream, job);
    this.finish(upstream, job);
  }

  private finish(upstream: OwnedUpstream, job: Job): void {
    if (job.state === "over") return;
    job.state = "over";
    upstream.delete(job, readClock());
    this.jobs.delete(job);
    this.pump(upstream);
  }

  /** Starts waiting requests while there is room, and drops those nobody waits for. */
  private pump(upstream: OwnedUpstream): void {
    while (upstream.queue.length > 0) {
      const mayStart = this.registry.hasRoom(upstream) &&
        this.options.guard.isFresh();
      const job = mayStart
        ? upstream.queue.take(this.registry.getCap(upstream))
        : undefined;
      if (!job) return;
      const decline = findDecline(upstream, job, this.registry);
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

  private dropPort(port: FramePort): void {
    for (const { upstream, job } of this.jobs.getEntries(port)) {
      this.stopJob(upstream, job);
    }
  }

  private sweep(): void {
    this.registry.refresh();
    for (const upstream of this.registry.getAll()) {
      for (const job of [...upstream.queue.items]) {
        const decline = findDecline(upstream, job, this.registry);
        if (decline) this.decline(upstream, job, decline);
      }
      this.pump(upstream);
    }
  }

  private takeReport(
    upstream: OwnedUpstream,
    report: UpstreamReport | undefined,
  ): void {
    upstream.takeReport(report, readClock());
    this.pump(upstream);
  }

  private noteGrowth(): void {
    const loads = this.registry.getAll().map(({ host, load }) => ({
      upstreamId: host.id,
      load,
    }));
    if (this.toldLoads.note(loads)) this.options.onLoadGrew();
  }
}
