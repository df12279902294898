/** Simulates, in virtual time, routers that own upstreams, and an engine. */
import { pino } from "pino";
import { AuditTrail } from "../../src/audit/audit_trail.ts";
import type { Job } from "../../src/owner/job.ts";
import { JobScheduler } from "../../src/owner/job_scheduler.ts";
import { LoadTable } from "../../src/owner/load_table.ts";
import type { OwnedUpstream } from "../../src/owner/owned_upstream.ts";
import { UpstreamRegistry } from "../../src/owner/upstream_registry.ts";
import { PlacementTable } from "../../src/placement/placement_table.ts";
import { FleetView, type RouterView } from "../../src/membership/fleet_view.ts";
import { Random } from "../../src/random/random.ts";
import { settingsSchema } from "../../src/settings/settings_schema.ts";
import { VirtualTimeline } from "../clock/virtual_timeline.ts";
import { MINIMAL_SETTINGS } from "../settings/minimal_settings.ts";
import { buildHost, ENGINE_ID, ENGINES, REGION } from "./virtual_pool.ts";
import type { VirtualRouter } from "./virtual_router.ts";

const SILENT_LOGGER = pino({ level: "silent" });
/** Delay with which the engine's report reflects its load. */
const REPORT_DELAY_MS = 300;
/** Interval of the schedulers' sweeps, as in a real router. */
const SWEEP_INTERVAL_MS = 250;
/** Range of the delivery delay of messages between routers. */
const DELIVERY_DELAY_MS = [1, 30] as const;
/** Range of the time after which a silent router is suspected. */
const SUSPICION_DELAY_MS = [300, 1_900] as const;
/** Range of the time after which connections to a silent router are closed. */
const DISCONNECT_DELAY_MS = [700, 3_500] as const;
/** Range of the time after which a router that runs again is reachable. */
const RECOVERY_DELAY_MS = [5, 200] as const;
/** Length from which a router detects its own pause. */
const PAUSE_THRESHOLD_MS = 1_000;
/** Fraction of the load advertisements that are lost. */
const LOAD_LOSS_RATE = 0.1;

/** A start of a request that exceeded the load bound of the engine. */
export interface BoundViolation {
  at: number;
  running: readonly string[];
}

/** A simulated fleet of routers. Each router's view of the others is updated after random delays and may be wrong for a
 * time. */
export class VirtualOwners {
  readonly timeline = VirtualTimeline.create();
  readonly routers: VirtualRouter[] = [];
  readonly violations: BoundViolation[] = [];
  /** Log of events, for the message of a failed test. */
  readonly history: string[] = [];
  readonly random: Random;
  /** Jobs running on the engine, labelled `router/request`. */
  private readonly running = new Map<Job, string>();
  private readonly loadHistory: [at: number, load: number][] = [[0, 0]];

  private constructor(
    seed: number,
    count: number,
    private readonly limit: number,
    private readonly lossRate: number,
  ) {
    this.random = Random.create(seed);
    const ids = Array.from({ length: count }, (_, index) => `r-${index}`);
    for (const id of ids) this.routers.push(this.createRouter(id, ids));
    for (const router of this.routers) this.startRouter(router);
  }

  /** Starts routers that can all reach each other.
   * @param seed Seed of the random numbers for all delays.
   * @param count Number of routers.
   * @param limit Requests that the engine may have in flight.
   * @param lossRate Fraction of the load advertisements that are lost. */
  static create(
    seed: number,
    count: number,
    limit: number,
    lossRate = LOAD_LOSS_RATE,
  ): VirtualOwners {
    return new VirtualOwners(seed, count, limit, lossRate);
  }

  /** The routers in their order as owners of the engine, if all are reachable. */
  get ownersInOrder(): VirtualRouter[] {
    const all = this.routers.map((router) => router.id);
    const view = this.buildView(this.routers[0]!, new Set(all), new Set());
    const order = PlacementTable.create(view, REGION).getOwners(ENGINES[0]!);
    return order.map((id) => this.getRouter(id));
  }

  getRouter(id: string): VirtualRouter {
    return this.routers.find((router) => router.id === id)!;
  }

  /** Runs an action at a router after a delay. If the router is then paused, the action is postponed; if it has been
   * killed or restarted, the action is dropped.
   * @param router The router.
   * @param delayMs Delay in milliseconds.
   * @param action The action. */
  runAt(router: VirtualRouter, delayMs: number, action: () => void): void {
    const { generation } = router;
    this.timeline.after(delayMs, () => {
      if (router.generation !== generation || router.state === "dead") return;
      if (router.state === "paused") router.pendingActions.push(action);
      else action();
    });
  }

  /** Draws a random delivery delay for a message between routers. */
  drawDeliveryDelay(): number {
    return this.random.integer(...DELIVERY_DELAY_MS);
  }

  /** Pauses a router. Others come to suspect it, and it becomes reachable again after it has resumed.
   * @param router The router.
   * @param durationMs Duration in milliseconds. */
  pause(router: VirtualRouter, durationMs: number): void {
    if (router.state !== "running") return;
    this.recordEvent(`${router.id} paused for ${durationMs}`);
    router.state = "paused";
    this.suspect(router, durationMs);
    const { generation } = router;
    this.timeline.after(durationMs, () => {
      if (router.generation === generation) this.resume(router, durationMs);
    });
  }

  /** Kills a router and starts it again.
   * @param router The router.
   * @param durationMs Downtime in milliseconds. */
  restart(router: VirtualRouter, durationMs: number): void {
    if (router.state !== "running") return;
    this.recordEvent(`${router.id} killed for ${durationMs}`);
    router.state = "dead";
    router.generation += 1;
    for (const job of [...this.running.keys()]) {
      if (this.running.get(job)!.startsWith(`${router.id}/`)) this.end(job);
    }
    for (const close of [...router.closeHandlers]) close();
    router.closeHandlers.clear();
    this.suspect(router, durationMs);
    this.timeline.after(durationMs, () => this.finishRestart(router));
  }

  /** Makes a running router unreachable to another router for a time.
   * @param observer Router that loses contact.
   * @param other Router that becomes unreachable.
   * @param durationMs Duration in milliseconds. */
  loseContact(
    observer: VirtualRouter,
    other: VirtualRouter,
    durationMs: number,
  ): void {
    if (observer === other) return;
    this.setHeard(observer, other.id, false);
    this.timeline.after(durationMs, () => {
      if (other.state === "running") this.setHeard(observer, other.id, true);
    });
  }

  /** Adds an event to the log, for the message of a failed test.
   * @param line Description of the event. */
  recordEvent(line: string): void {
    this.history.push(`${this.timeline.read()} ${line}`);
  }

  private createRouter(id: string, all: readonly string[]): VirtualRouter {
    const settings = settingsSchema.parse({ ...MINIMAL_SETTINGS, id });
    const router = {
      id,
      settings,
      heard: new Set(all),
      unavailable: new Set<string>(),
      state: "running",
      isStale: false,
      pendingActions: [] as (() => void)[],
      generation: 0,
      closeHandlers: new Set<() => void>(),
      viewVersion: 0,
    } as VirtualRouter;
    this.refreshView(router);
    this.createOwner(router);
    return router;
  }

  private createOwner(router: VirtualRouter): void {
    router.loads = LoadTable.create();
    router.registry = UpstreamRegistry.create({
      settings: router.settings,
      logger: SILENT_LOGGER,
      audit: AuditTrail.create(10, SILENT_LOGGER),
      loads: router.loads,
      getView: () => router.view,
      getPlacement: () => router.placement,
      requestReport: (upstream) => this.readReport(router, upstream),
      timeline: this.timeline,
    });
    router.scheduler = JobScheduler.create({
      registry: router.registry,
      pauseDetector: { isFresh: () => !router.isStale },
      logger: SILENT_LOGGER,
      timeline: this.timeline,
      streamWindowBytes: 1_000,
      run: (upstream, job) => this.runJob(router, upstream, job),
      cancel: (_upstream, job) => this.end(job),
      onLoadGrew: () => this.advertiseLoads(router),
    });
  }

  private startRouter(router: VirtualRouter): void {
    this.repeat(router, SWEEP_INTERVAL_MS, () => router.scheduler.sweep());
    const { reportIntervalMs } = router.settings.routing;
    this.repeat(
      router,
      reportIntervalMs,
      () => router.registry.requestReports(),
    );
    const { probeIntervalMs } = router.settings.membership;
    this.repeat(router, probeIntervalMs, () => this.advertiseLoads(router));
  }

  private repeat(
    router: VirtualRouter,
    intervalMs: number,
    action: () => void,
  ): void {
    const run = () => {
      action();
      this.runAt(router, intervalMs, run);
    };
    this.runAt(router, this.random.integer(0, intervalMs), run);
  }

  private advertiseLoads(router: VirtualRouter): void {
    const loads = router.registry.getLoads();
    for (const other of this.routers) {
      if (other === router || this.random.fraction() < this.lossRate) continue;
      this.runAt(
        other,
        this.drawDeliveryDelay(),
        () => other.registry.recordPeerLoads(router.id, loads),
      );
    }
  }

  /** Delivers the loads that a response to a probe advertises. */
  private respondToProbe(observer: VirtualRouter, prober: VirtualRouter): void {
    if (this.random.fraction() < this.lossRate) return;
    const loads = observer.registry.getLoads();
    this.runAt(
      prober,
      this.drawDeliveryDelay(),
      () => prober.registry.recordPeerLoads(observer.id, loads),
    );
  }

  private readReport(router: VirtualRouter, upstream: OwnedUpstream): void {
    const { pauseCount } = upstream;
    this.timeline.after(this.drawDeliveryDelay(), () => {
      const asOf = this.timeline.read() - REPORT_DELAY_MS;
      const inFlight = upstream.host.id === ENGINE_ID
        ? this.getLoadAtTime(asOf)
        : 0;
      this.runAt(router, this.drawDeliveryDelay(), () => {
        if (upstream.pauseCount !== pauseCount) return;
        router.scheduler.handleReport(upstream, {
          inFlight,
          leaving: false,
          fence: 0,
        });
      });
    });
  }

  private runJob(
    router: VirtualRouter,
    upstream: OwnedUpstream,
    job: Job,
  ): void {
    const { generation } = router;
    const { foreign, isOwned } = upstream;
    const detail = `own ${upstream.running.size} foreign ${foreign.load}${
      isOwned ? "" : " not owner"
    } avoids ${job.offer.avoids}${job.offer.resumes ? " resumes" : ""}`;
    this.timeline.after(this.random.integer(0, 5), () => {
      if (router.generation !== generation || job.state === "ended") return;
      this.running.set(job, `${router.id}/${job.offer.requestId}`);
      this.recordEvent(`${router.id} starts ${job.offer.requestId}: ${detail}`);
      this.recordLoad();
      const loadNow = this.running.size;
      if (loadNow > this.limit) {
        this.recordEvent(`VIOLATION ${loadNow}`);
        const running = [...this.running.values()];
        this.violations.push({ at: this.timeline.read(), running });
      }
      this.timeline.after(this.random.integer(30, 600), () => {
        if (!this.end(job)) return;
        this.runAt(router, this.random.integer(0, 5), () => {
          if (job.state === "ended") return;
          job.send({ type: "end", chunks: 0, bytes: 0 });
          router.scheduler.finish(upstream, job);
        });
      });
    });
  }

  private end(job: Job): boolean {
    if (!this.running.delete(job)) return false;
    this.recordLoad();
    return true;
  }

  private recordLoad(): void {
    this.loadHistory.push([this.timeline.read(), this.running.size]);
  }

  private getLoadAtTime(at: number): number {
    return this.loadHistory.findLast(([since]) => since <= at)?.[1] ?? 0;
  }

  private suspect(router: VirtualRouter, durationMs: number): void {
    const { generation } = router;
    for (const observer of this.routers) {
      if (observer === router) continue;
      const suspectAfterMs = this.random.integer(...SUSPICION_DELAY_MS);
      if (suspectAfterMs >= durationMs) continue;
      this.timeline.after(suspectAfterMs, () => {
        if (router.generation === generation && router.state !== "running") {
          this.setHeard(observer, router.id, false);
        }
      });
    }
    const disconnectAfterMs = this.random.integer(...DISCONNECT_DELAY_MS);
    if (durationMs <= disconnectAfterMs || router.state === "dead") return;
    this.timeline.after(disconnectAfterMs, () => {
      if (router.generation !== generation || router.state !== "paused") return;
      for (const close of [...router.closeHandlers]) close();
      router.closeHandlers.clear();
    });
  }

  private resume(router: VirtualRouter, pausedMs: number): void {
    router.state = "running";
    this.recordEvent(`${router.id} resumes`);
    if (pausedMs >= PAUSE_THRESHOLD_MS) {
      router.isStale = true;
      router.registry.handlePause();
      this.runAt(router, this.random.integer(...RECOVERY_DELAY_MS), () => {
        router.isStale = false;
        this.recordEvent(`${router.id} is fresh`);
      });
    }
    this.scheduleRecovery(router);
    for (const action of router.pendingActions.splice(0)) action();
  }

  private scheduleRecovery(router: VirtualRouter): void {
    const { generation } = router;
    for (const observer of this.routers) {
      if (observer === router) continue;
      this.timeline.after(this.random.integer(...RECOVERY_DELAY_MS), () => {
        if (router.generation === generation && router.state === "running") {
          this.setHeard(observer, router.id, true);
        }
      });
    }
  }

  private finishRestart(router: VirtualRouter): void {
    router.state = "running";
    this.recordEvent(`${router.id} starts again`);
    router.isStale = false;
    router.pendingActions = [];
    router.heard = new Set(this.routers.map((one) => one.id));
    this.refreshView(router);
    this.createOwner(router);
    this.startRouter(router);
    this.scheduleRecovery(router);
  }

  private setHeard(
    observer: VirtualRouter,
    id: string,
    isHeard: boolean,
  ): void {
    if (observer.heard.has(id) === isHeard) return;
    this.recordEvent(
      `${observer.id} ${isHeard ? "hears" : "misses"} ${id}`,
    );
    if (isHeard) observer.heard.add(id);
    else observer.heard.delete(id);
    this.refreshView(observer);
    if (isHeard) this.respondToProbe(observer, this.getRouter(id));
  }

  private refreshView(router: VirtualRouter): void {
    router.view = this.buildView(router, router.heard, router.unavailable);
    router.placement = PlacementTable.create(router.view, REGION);
  }

  private buildView(
    router: VirtualRouter,
    heard: ReadonlySet<string>,
    unavailable: ReadonlySet<string>,
  ): FleetView {
    router.viewVersion += 1;
    const ids = new Set([...heard, ...this.routers.map((one) => one.id)]);
    const views = [...ids].sort().map((id): RouterView => ({
      host: buildHost(id, "router"),
      heard: heard.has(id),
      dead: false,
      unavailable: unavailable.has(id),
    }));
    return FleetView.create(router.id, router.viewVersion, views, ENGINES);
  }
}
