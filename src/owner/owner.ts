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
import { cancelOnEngine, executeJob } from "./execute_job.ts";

/** Interval at which ownership is refreshed, queued requests are checked and unused upstreams are removed. */
const SWEEP_INTERVAL_MS = 250;

type OwnerMessages = {
  offer: { port: FramePort; frame: FrameOf<"offer"> };
  reply: { port: FramePort; frame: ReplyFrame };
  portClosed: FramePort;
  finished: { upstream: OwnedUpstream; job: Job };
  report: { upstream: OwnedUpstream; report: UpstreamReport | undefined };
  sweep: null;
};

/** Owns upstreams: it alone decides when a request is sent to one of them. Offers, replies and reports are processed
 * one at a time by an actor. */
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
      offer: ({ port, frame }) => this.scheduler.handleOffer(port, frame),
      reply: ({ port, frame }) => this.scheduler.handleReply(port, frame),
      portClosed: (port) => this.scheduler.handlePortClosed(port),
      finished: ({ upstream, job }) => this.scheduler.finish(upstream, job),
      report: ({ upstream, report }) =>
        this.scheduler.handleReport(upstream, report),
      sweep: () => this.scheduler.sweep(),
    }, options.logger);
    this.timers = [
      setInterval(() => this.actor.tell("sweep", null), SWEEP_INTERVAL_MS),
      setInterval(
        () => this.registry.requestReports(),
        options.settings.routing.reportIntervalMs,
      ),
    ];
  }

  /** Creates an owner without upstreams.
   * @param options Dependencies. */
  static create(options: OwnerOptions): Owner {
    return new Owner(options);
  }

  /** Handles an offer from an entry router and responds on the same connection.
   * @param port Connection to the entry router.
   * @param frame The offer. */
  offer(port: FramePort, frame: FrameOf<"offer">): void {
    this.actor.tell("offer", { port, frame });
  }

  /** Handles a reply of an entry router.
   * @param port Connection to the entry router.
   * @param frame The reply. */
  reply(port: FramePort, frame: ReplyFrame): void {
    this.actor.tell("reply", { port, frame });
  }

  /** Records that a caller has consumed bytes. This bypasses the actor, so that the stream continues at once.
   * @param port Connection to the entry router.
   * @param frame The number of bytes. */
  credit(port: FramePort, frame: FrameOf<"credit">): void {
    this.scheduler.getJob(port, frame.exchange)?.credit(frame.bytes);
  }

  /** Stops the jobs of an entry router whose connection has closed.
   * @param port The connection. */
  handlePortClosed(port: FramePort): void {
    this.actor.tell("portClosed", port);
  }

  /** Returns the loads of the upstreams that this router owns, as pairs of the hash of the id and the load. */
  getLoads(): [number, number][] {
    return this.registry.getLoads();
  }

  /** Records the loads that another router advertises for the upstreams that it owns.
   * @param routerId The other router.
   * @param loads Pairs of the hash of an upstream's id and its requests in flight. */
  recordPeerLoads(routerId: string, loads: readonly [number, number][]): void {
    this.registry.recordPeerLoads(routerId, loads);
  }

  /** Number of running and queued requests over all upstreams. */
  get openJobs(): number {
    let count = 0;
    for (const upstream of this.registry.getAll()) {
      count += upstream.running.size + upstream.queue.length;
    }
    return count;
  }

  /** Returns the status of each upstream, as shown to operators. */
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

  /** Handles a pause of this process: loads known from before it are no longer used. */
  handlePause(): void {
    this.registry.handlePause();
  }

  /** Declines all further offers; accepted jobs continue. */
  stopAccepting(): void {
    this.scheduler.stopAccepting();
  }

  /** Stops all jobs and closes the connections to upstreams. */
  async close(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    this.actor.close();
    for (const upstream of this.registry.getAll()) {
      for (const job of upstream.running) job.abort();
    }
    await this.registry.close();
  }

  private createScheduler(): JobScheduler {
    const { settings, pauseDetector, logger, onLoadGrew } = this.options;
    return JobScheduler.create({
      registry: this.registry,
      pauseDetector,
      logger,
      timeline: processTimeline,
      streamWindowBytes: settings.limits.streamWindowBytes,
      run: (upstream, job) => {
        void executeJob(upstream, job, logger).finally(() =>
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

  /** Reads the report of an upstream; a report that was requested before a pause of this process is discarded as
   * outdated. */
  private async readReport(upstream: OwnedUpstream): Promise<void> {
    const { pauseCount } = upstream;
    if (upstream.backoffMs > 0) return;
    const report = await upstream.client.readReport().catch(() => undefined);
    if (upstream.pauseCount !== pauseCount || upstream.backoffMs > 0) return;
    this.actor.tell("report", { upstream, report });
  }
}
