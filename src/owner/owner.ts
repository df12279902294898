import { processTimeline } from "../clock/timeline.ts";
import { Actor } from "../actors/actor.ts";
import type { FramePort } from "../peer/frame_port.ts";
import type { FrameOf } from "../peer/frame_schema.ts";
import type { UpstreamReport } from "../upstream/upstream_client.ts";
import type { Job } from "./job.ts";
import { JobScheduler, type ReplyFrame } from "./job_scheduler.ts";
import type { OwnerOptions } from "./owner_options.ts";
import type { OwnedUpstream } from "./owned_upstream.ts";
import { UpstreamRegistry } from "./upstream_registry.ts";
import type { UpstreamStatus } from "./upstream_status.ts";
import { cancelOnEngine, workOn } from "./work_on.ts";

/** Time after which an upstream that is neither owned nor used is forgotten. */
const SWEEP_INTERVAL_MS = 250;

type OwnerMessages = {
  offer: { port: FramePort; frame: FrameOf<"offer"> };
  reply: { port: FramePort; frame: ReplyFrame };
  portClosed: FramePort;
  finished: { upstream: OwnedUpstream; job: Job };
  report: { upstream: OwnedUpstream; report: UpstreamReport | undefined };
  sweep: null;
};

/** The task that owns upstreams: it alone decides when a request is sent to one of them. */
export class Owner {
  private readonly registry: UpstreamRegistry;
  private readonly scheduler: JobScheduler;
  private readonly actor: Actor<OwnerMessages>;
  private readonly timers: NodeJS.Timeout[];

  private constructor(private readonly options: OwnerOptions) {
    this.registry = UpstreamRegistry.create({
      ...options,
      requestReport: (upstream) => void this.readReport(upstream),
    });
    this.scheduler = this.createScheduler();
    this.actor = Actor.create<OwnerMessages>(options.system, "owner", {
      offer: ({ port, frame }) => this.scheduler.takeOffer(port, frame),
      reply: ({ port, frame }) => this.scheduler.takeReply(port, frame),
      portClosed: (port) => this.scheduler.dropPort(port),
      finished: ({ upstream, job }) => this.scheduler.finish(upstream, job),
      report: ({ upstream, report }) =>
        this.scheduler.takeReport(upstream, report),
      sweep: () => this.scheduler.sweep(),
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
    this.scheduler.getJob(port, frame.exchange)?.credit(frame.bytes);
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

  /** Takes the loads that another router tells of the upstreams it owns.
   * @param routerId The other router.
   * @param loads Hash of an upstream's id, and its requests in flight. */
  takePeerLoads(routerId: string, loads: readonly [number, number][]): void {
    this.registry.takePeerLoads(routerId, loads);
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
    this.scheduler.stopAccepting();
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

  private createScheduler(): JobScheduler {
    const { settings, guard, logger, onLoadGrew } = this.options;
    return JobScheduler.create({
      registry: this.registry,
      guard,
      logger,
      timeline: processTimeline,
      streamWindowBytes: settings.limits.streamWindowBytes,
      run: (upstream, job) => {
        void workOn(upstream, job, logger).finally(() =>
          this.actor.tell("finished", { upstream, job })
        );
      },
      cancel: (upstream, job) => {
        job.abort();
        cancelOnEngine(upstream, job);
      },
      onLoadGrew,
    });
  }

  /** Reads a report; one that was asked for before a pause of this process says nothing of now. */
  private async readReport(upstream: OwnedUpstream): Promise<void> {
    const { pauseCount } = upstream;
    if (upstream.backoffMs > 0) return;
    const report = await upstream.client.readReport().catch(() => undefined);
    if (upstream.pauseCount !== pauseCount || upstream.backoffMs > 0) return;
    this.actor.tell("report", { upstream, report });
  }
}
