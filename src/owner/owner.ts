import { Actor, type ActorSystem } from "../actors/actor.ts";
import type { AuditTrail } from "../audit/audit_trail.ts";
import type { PauseGuard } from "../clock/pause_guard.ts";
import { hashText } from "../hashing/hasher.ts";
import type { Logger } from "../logging/logger.ts";
import type { FleetView } from "../membership/fleet_view.ts";
import type { PlacementTable } from "../placement/placement_table.ts";
import { POLICIES } from "../placement/policies.ts";
import type { FramePort } from "../peer/frame_port.ts";
import type { FrameOf } from "../peer/frame_schema.ts";
import type { Host } from "../platform/host_schema.ts";
import type { Settings } from "../settings/settings_schema.ts";
import { UpstreamError } from "../upstream/upstream_error.ts";
import type { UpstreamReport } from "../upstream/upstream_client.ts";
import { HeardShare } from "./heard_share.ts";
import { Job } from "./job.ts";
import { computeCap, hasRoom, type LoadBoundStructure } from "./load_bound.ts";
import { type LoadBook, REMEMBERED_MS, UNREACHABLE_LOAD } from "./load_book.ts";
import { OwnedUpstream } from "./owned_upstream.ts";
import type { UpstreamStatus } from "./upstream_status.ts";
import { JOB_RUNNERS } from "./run_job.ts";

/** Time an entry has to answer a claim. */
const CLAIM_TIMEOUT_MS = 2_000;
/** Time after which an upstream that is neither owned nor used is forgotten. */
const SWEEP_INTERVAL_MS = 250;
/** Growth of the own load since peers were told, above which they are told at once. */
const PUSH_GROWTH = 1.2;
const PUSH_STEP = 2;

/** What the owner needs of the rest of the router. */
export interface OwnerOptions {
  settings: Settings;
  system: ActorSystem;
  guard: PauseGuard;
  logger: Logger;
  audit: AuditTrail;
  loads: LoadBook;
  getView: () => FleetView;
  getPlacement: () => PlacementTable;
  /** Called when the own load grew so much that peers should know at once. */
  onLoadGrew: () => void;
}

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
  private readonly upstreams = new Map<string, OwnedUpstream>();
  private readonly jobs = new Map<
    FramePort,
    Map<number, { upstream: OwnedUpstream; job: Job }>
  >();
  private readonly actor: Actor<OwnerMessages>;
  private readonly timers: NodeJS.Timeout[];
  private readonly share = HeardShare.create();
  private toldLoad = 0;
  private isStopping = false;

  private constructor(private readonly options: OwnerOptions) {
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
        () => this.readReports(),
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
    this.jobs.get(port)?.get(frame.exchange)?.job.credit(frame.bytes);
  }

  /** Drops the work of an entry whose connection ended.
   * @param port The connection. */
  portClosed(port: FramePort): void {
    this.actor.tell("portClosed", port);
  }

  /** Loads of the upstreams this router owns: hash of the id, and the number. */
  getLoads(): [number, number][] {
    const owned = [...this.upstreams.values()].filter((upstream) =>
      upstream.isOwned
    );
    return owned.map((upstream) => [
      hashText(upstream.host.id),
      upstream.isReachable ? upstream.leastLoad : UNREACHABLE_LOAD,
    ]);
  }

  /** Requests this router has running or waiting, over all upstreams. */
  get openJobs(): number {
    let count = 0;
    for (const upstream of this.upstreams.values()) {
      count += upstream.running.size + upstream.queue.length;
    }
    return count;
  }

  /** What operators see of each upstream. */
  describe(): UpstreamStatus[] {
    return [...this.upstreams.values()].map((upstream) => ({
      id: upstream.host.id,
      owned: this.isOwner(upstream.host),
      running: upstream.running.size,
      foreign: upstream.foreign.load,
      waiting: upstream.queue.length,
      cap: this.getCap(upstream),
      takesWork: upstream.takesWork,
    }));
  }

  /** Declines all further offers; what was taken goes on. */
  stopAccepting(): void {
    this.isStopping = true;
  }

  /** Stops all work. */
  async close(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    this.actor.close();
    for (const upstream of this.upstreams.values()) {
      for (const job of upstream.running) job.abort();
      await upstream.client.close();
    }
  }

  private takeOffer(port: FramePort, frame: FrameOf<"offer">): void {
    const job = Job.create(
      port,
      frame,
      performance.now(),
      this.options.settings.limits.streamWindowBytes,
    );
    const upstream = this.getUpstream(frame.upstreamId);
    if (upstream) this.refreshOwnership(upstream);
    const owner = upstream ? this.findOtherOwner(upstream, frame) : undefined;
    if (owner) return job.send({ type: "declined", reason: "moved", owner });
    if (this.isStopping || !this.options.guard.isFresh()) {
      return job.send({ type: "declined", reason: "stale", owner: "" });
    }
    if (!upstream?.takesWork) {
      return job.send({ type: "declined", reason: "gone", owner: "" });
    }
    const mayStart = upstream.queue.length === 0 && this.hasRoom(upstream);
    if (mayStart || this.isTakenOver(upstream, frame)) {
      this.remember(upstream, job);
      job.send({ type: "accepted", queued: false });
      return this.begin(upstream, job);
    }
    const refusal = frame.mayQueue ? upstream.queue.push(job) : "full";
    if (refusal) {
      return job.send({ type: "declined", reason: refusal, owner: "" });
    }
    this.remember(upstream, job);
    job.send({ type: "accepted", queued: true });
  }

  /** Returns the router that owns an upstream, unless it is this one or one that the entry could not reach. */
  private findOtherOwner(
    upstream: OwnedUpstream,
    frame: FrameOf<"offer">,
  ): string | undefined {
    const [owner] = this.options.getPlacement().getOwners(upstream.host);
    const isOther = owner !== undefined && owner !== this.options.settings.id;
    return isOther && !frame.avoids.includes(owner) ? owner : undefined;
  }

  /** Whether an offer is for a request that the upstream already carries for a lost owner; it takes no further room. */
  private isTakenOver(
    upstream: OwnedUpstream,
    frame: FrameOf<"offer">,
  ): boolean {
    return frame.resumes && upstream.foreign.load > 0;
  }

  private hasRoom(upstream: OwnedUpstream): boolean {
    if (!this.isBounded) return upstream.load < upstream.host.slots;
    const load = { own: upstream.running.size, foreign: upstream.foreign.load };
    return hasRoom(this.getBound(upstream), load);
  }

  private getCap(upstream: OwnedUpstream): number {
    return this.isBounded
      ? computeCap(this.getBound(upstream))
      : upstream.host.slots;
  }

  private get isBounded(): boolean {
    return POLICIES[this.options.settings.routing.policy].isBounded;
  }

  private getBound(upstream: OwnedUpstream): LoadBoundStructure {
    const { boundMultiple, minimumCap } = this.options.settings.routing;
    const now = performance.now();
    this.options.loads.record(this.getLoads(), now);
    const pool = this.options.getPlacement().getPool(upstream.host);
    const mean = this.options.loads.getMean(pool, now);
    const heardShare = this.share.get(this.options.getView().heardShare, now);
    return {
      boundMultiple,
      minimumCap,
      slots: upstream.host.slots,
      mean,
      heardShare,
    };
  }

  private begin(upstream: OwnedUpstream, job: Job): void {
    upstream.add(job, performance.now());
    this.noteGrowth();
    if (job.offer.repeatable) return this.run(upstream, job);
    job.state = "claiming";
    job.send({ type: "claim" });
    setTimeout(() => this.actor.tell("claimTimeout", job), CLAIM_TIMEOUT_MS)
      .unref();
  }

  private run(upstream: OwnedUpstream, job: Job): void {
    job.state = "running";
    void this.work(upstream, job).finally(() =>
      this.actor.tell("finished", { upstream, job })
    );
  }

  private async work(upstream: OwnedUpstream, job: Job): Promise<void> {
    try {
      const result = await JOB_RUNNERS[job.offer.work](job, upstream.client);
      job.send({ type: "end", ...result });
    } catch (thrown) {
      const error = UpstreamError.from(thrown);
      if (job.signal.aborted) return;
      this.cancelOnEngine(upstream, job);
      this.options.logger.warn(
        {
          upstream: upstream.host.id,
          request: job.offer.requestId,
          reason: error.message,
        },
        "upstream_failed",
      );
      job.send({ type: "failed", ran: error.ran, detail: error.message });
    }
  }

  private takeReply(port: FramePort, frame: ReplyFrame): void {
    const entry = this.jobs.get(port)?.get(frame.exchange);
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
    const entry = this.jobs.get(job.port)?.get(job.offer.exchange);
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
    if (!wasRunning) return this.decline(upstream, job, "deadline");
    job.abort();
    this.cancelOnEngine(upstream, job);
    this.finish(upstream, job);
  }

  private cancelOnEngine(upstream: OwnedUpstream, job: Job): void {
    if (job.offer.work === "chat") {
      void upstream.client.cancel(job.offer.requestId, job.attempt);
    }
  }

  private finish(upstream: OwnedUpstream, job: Job): void {
    if (job.state === "over") return;
    job.state = "over";
    upstream.delete(job, performance.now());
    const jobs = this.jobs.get(job.port);
    jobs?.delete(job.offer.exchange);
    if (jobs?.size === 0) this.jobs.delete(job.port);
    this.pump(upstream);
  }

  /** Starts waiting requests while there is room, and drops those nobody waits for. */
  private pump(upstream: OwnedUpstream): void {
    while (upstream.queue.length > 0) {
      const mayStart = this.hasRoom(upstream) && upstream.takesWork &&
        this.options.guard.isFresh();
      const job = mayStart
        ? upstream.queue.take(this.getCap(upstream))
        : undefined;
      if (!job) return;
      if (performance.now() < job.deadlineAt) this.begin(upstream, job);
      else this.decline(upstream, job, "deadline");
    }
  }

  private decline(
    upstream: OwnedUpstream,
    job: Job,
    reason: "gone" | "deadline",
  ): void {
    job.send({ type: "declined", reason, owner: "" });
    upstream.queue.remove(job);
    this.finish(upstream, job);
  }

  private dropPort(port: FramePort): void {
    for (const { upstream, job } of [...this.jobs.get(port)?.values() ?? []]) {
      this.stopJob(upstream, job);
    }
  }

  private sweep(): void {
    const now = performance.now();
    for (const upstream of this.upstreams.values()) {
      upstream.host = this.options.getView().getUpstream(upstream.host.id) ??
        { ...upstream.host, state: "leaving" };
      for (const job of [...upstream.queue.items]) {
        if (now >= job.deadlineAt) this.decline(upstream, job, "deadline");
        else if (!upstream.takesWork) this.decline(upstream, job, "gone");
      }
      this.refreshOwnership(upstream);
      this.pump(upstream);
      this.forgetUnused(upstream);
    }
    for (const host of this.options.getView().upstreams) {
      if (this.isOwner(host) && !this.upstreams.has(host.id)) {
        this.takeOver(host);
      }
    }
  }

  private forgetUnused(upstream: OwnedUpstream): void {
    const isUsed = upstream.running.size > 0 || upstream.queue.length > 0;
    const isListed =
      this.options.getView().getUpstream(upstream.host.id) !== undefined;
    if (isUsed || (isListed && this.isOwner(upstream.host))) return;
    this.upstreams.delete(upstream.host.id);
    void upstream.client.close();
  }

  private getUpstream(id: string): OwnedUpstream | undefined {
    const host = this.options.getView().getUpstream(id);
    const known = this.upstreams.get(id);
    if (known && host) known.host = host;
    if (known || !host) return known;
    return this.takeOver(host);
  }

  private takeOver(host: Host): OwnedUpstream {
    const { queueLimit, stallTimeoutMs } = this.options.settings.routing;
    const upstream = OwnedUpstream.create(host, queueLimit, stallTimeoutMs);
    this.upstreams.set(host.id, upstream);
    const who = this.options.settings.id;
    this.options.audit.add({
      action: "upstream_taken_over",
      who,
      what: host.id,
      revision: this.options.getView().version,
      why: "first in its rendezvous order among the routers heard",
    });
    this.refreshOwnership(upstream);
    void this.readReport(upstream);
    return upstream;
  }

  /** Takes what the former owner last told as foreign, until the upstream itself reports.
   * A router that is not the owner, for it sees the fleet otherwise than the entry, does the same all the time. */
  private refreshOwnership(upstream: OwnedUpstream): void {
    const wasOwned = upstream.isOwned;
    upstream.isOwned = this.isOwner(upstream.host);
    if (wasOwned) return;
    const now = performance.now();
    const told = this.options.loads.getLoad(
      upstream.host.id,
      now,
      REMEMBERED_MS,
    );
    upstream.foreign.takeOver(told ?? 0, now);
  }

  private isOwner(host: Host): boolean {
    return this.options.getPlacement().getOwners(host)[0] ===
      this.options.settings.id;
  }

  private readReports(): void {
    for (const upstream of this.upstreams.values()) {
      void this.readReport(upstream);
    }
  }

  private async readReport(upstream: OwnedUpstream): Promise<void> {
    const report = await upstream.client.readReport().catch(() => undefined);
    this.actor.tell("report", { upstream, report });
  }

  private takeReport(
    upstream: OwnedUpstream,
    report: UpstreamReport | undefined,
  ): void {
    upstream.takeReport(report, performance.now());
    this.pump(upstream);
  }

  private noteGrowth(): void {
    let load = 0;
    for (const upstream of this.upstreams.values()) load += upstream.load;
    if (load > this.toldLoad * PUSH_GROWTH + PUSH_STEP) {
      this.options.onLoadGrew();
    } else if (load >= this.toldLoad) return;
    this.toldLoad = load;
  }

  private remember(upstream: OwnedUpstream, job: Job): void {
    const jobs = this.jobs.get(job.port) ?? new Map();
    jobs.set(job.offer.exchange, { upstream, job });
    this.jobs.set(job.port, jobs);
  }
}
