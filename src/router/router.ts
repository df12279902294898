import { readClock } from "../clock/clock.ts";
import { setTimeout as delay } from "node:timers/promises";
import {
  type ActorSystem,
  startActorSystem,
  stopActorSystem,
} from "../actors/actor.ts";
import { AuditTrail } from "../audit/audit_trail.ts";
import { PauseDetector } from "../clock/pause_detector.ts";
import { ConfigurationReplica } from "../configuration/configuration_replica.ts";
import { CallerServer } from "../entry/caller_server.ts";
import { DrainAdmission } from "../entry/drain_admission.ts";
import { Dispatcher } from "../entry/dispatcher.ts";
import type { RouterPhase } from "../entry/entry_context.ts";
import { OutcomeStore } from "../entry/outcome_store.ts";
import { getOrThrow } from "../errors/get_or_throw.ts";
import { createLogger, type Logger } from "../logging/logger.ts";
import { FleetView } from "../membership/fleet_view.ts";
import { Membership } from "../membership/membership.ts";
import { Metrics } from "../metrics/metrics.ts";
import { LoadTable } from "../owner/load_table.ts";
import { Owner } from "../owner/owner.ts";
import { PeerAuthenticator } from "../peer/peer_authenticator.ts";
import { PeerConnectionPool } from "../peer/peer_connection_pool.ts";
import { PeerServer } from "../peer/peer_server.ts";
import { PlacementTable } from "../placement/placement_table.ts";
import type { HostList } from "../configuration_service/host_schema.ts";
import type { Settings } from "../settings/settings_schema.ts";
import { Witness } from "../witness/witness.ts";
import { attachFrameHandlers } from "./frame_handlers.ts";
import { HostListPuller } from "./host_list_puller.ts";
import { PlatformWatcher } from "./platform_watcher.ts";
import { buildRouterStatus } from "./build_router_status.ts";
import type { RouterStatus } from "./router_status.ts";
import { StartWait } from "./start_wait.ts";
import { RouterCrashTracker } from "./router_crash_tracker.ts";
import { waitAtMost } from "../clock/wait_at_most.ts";
import { VERSION } from "./version.ts";

/** Allowance for the other fields of a frame beyond the largest request body. */
const FRAME_OVERHEAD_BYTES = 256 * 1024;
/** Interval of the checks for open requests while draining. */
const POLL_INTERVAL_MS = 50;
/** Time of a graceful stop that is left for the exit of the process, in milliseconds. */
const EXIT_TIME_MS = 150;
/** Interval at which it is checked whether the requests that the end of a stop has ended are answered. */
const END_POLL_INTERVAL_MS = 10;
/** Fraction of the time limit of a stop after which connections are closed, answered or not. */
const CLOSE_FRACTION = 0.98;
/** Number of peers from which configuration documents are pulled before a router serves. */
const STARTUP_PULL_PEERS = 3;
/** Number of outcomes of requests with an idempotency key that are kept. */
const MAX_OUTCOMES = 20_000;

/** A router of the fleet. As an entry it accepts requests of callers; as an owner it schedules the requests of all
 * entries on the upstreams that it owns. */
export class Router {
  private readonly logger: Logger;
  private readonly metrics: Metrics;
  private readonly audit: AuditTrail;
  private readonly system: ActorSystem = startActorSystem();
  private readonly pauseDetector: PauseDetector;
  private readonly authenticator: PeerAuthenticator;
  private readonly loads = LoadTable.create();
  /** @internal */
  readonly outcomes: OutcomeStore;
  private readonly connectionPool: PeerConnectionPool;
  /** @internal */
  readonly configuration: ConfigurationReplica;
  /** @internal */
  readonly owner: Owner;
  /** @internal */
  readonly witness: Witness;
  /** @internal */
  readonly crashes: RouterCrashTracker;
  private readonly dispatcher: Dispatcher;
  private readonly drainAdmission: DrainAdmission;
  private readonly hostListPuller: HostListPuller;
  private membership: Membership | undefined;
  private platform: PlatformWatcher | undefined;
  private peerServer: PeerServer | undefined;
  private callerServer: CallerServer | undefined;
  private view: FleetView;
  private placement: PlacementTable;
  private phase: RouterPhase = "starting";

  private constructor(private readonly settings: Settings) {
    this.logger = createLogger(settings.id, settings.logLevel);
    this.metrics = Metrics.create(settings.metrics, settings.id);
    this.audit = AuditTrail.create(settings.audit.capacity, this.logger);
    this.authenticator = PeerAuthenticator.create(settings.fleetSecret);
    this.outcomes = OutcomeStore.create(settings.keys.rememberMs, MAX_OUTCOMES);
    this.view = FleetView.create(settings.id, 0, [], []);
    this.placement = PlacementTable.create(this.view, settings.region);
    this.pauseDetector = PauseDetector.create(
      settings.membership.pauseThresholdMs,
      (gapMs) => this.handlePause(gapMs),
    );
    const commonOptions = this.getCommonOptions();
    this.connectionPool = PeerConnectionPool.create({
      ...commonOptions,
      ownId: settings.id,
      authenticator: this.authenticator,
      connectTimeoutMs: settings.routing.acceptTimeoutMs,
      acceptLoopback: (port) => attachFrameHandlers(this, port),
    });
    this.configuration = ConfigurationReplica.create({
      ...commonOptions,
      connectionPool: this.connectionPool,
    });
    this.witness = Witness.create({
      ...commonOptions,
      connectionPool: this.connectionPool,
    });
    this.owner = Owner.create({
      ...commonOptions,
      onLoadGrew: () => this.membership?.pushLoads(),
    });
    this.hostListPuller = HostListPuller.create(
      this.connectionPool,
      () => this.getHostList().version,
      (list) => this.membership?.offerHostList(list),
    );
    this.crashes = RouterCrashTracker.create({
      ...commonOptions,
      metrics: this.metrics,
      connectionPool: this.connectionPool,
      onHeld: (hold) => this.dispatcher.abortHeld(hold),
    });
    this.drainAdmission = DrainAdmission.create({
      ...commonOptions,
      metrics: this.metrics,
      limitMs: settings.drain.limitMs,
      hasOtherRouter: () => this.view.hasOtherRouter,
      callersLeaveWithinMs: 2 * settings.locate.lifetimeMs,
      getPaceRatio: (request) => this.dispatcher.getPaceRatio(request),
    });
    this.dispatcher = Dispatcher.create({
      ...commonOptions,
      drain: this.drainAdmission,
      connectionPool: this.connectionPool,
      crashGuard: this.crashes.guard,
    });
  }

  /** Starts a router, which serves requests as soon as it has configuration documents and a host list. */
  static async start(settings: Settings): Promise<Router> {
    const router = new Router(settings);
    await router.open();
    return router;
  }

  /** Stops gracefully: announces that the router is unavailable, keeps serving for the lifetime of a `/locate`
   * response, and then completes the open requests, up to `drain.limitMs`.
   * @param signaledAt Monotonic milliseconds at which the stop was asked for. */
  async drain(signaledAt = readClock()): Promise<void> {
    if (this.phase === "draining" || this.phase === "closing") return;
    const { limitMs } = this.settings.drain;
    const closeAt = signaledAt + limitMs * CLOSE_FRACTION;
    this.phase = "draining";
    this.logger.info(
      { openRequests: this.callerServer?.openRequests },
      "drain_started",
    );
    this.drainAdmission.start(signaledAt);
    this.membership?.setUnavailable(true);
    // Callers that reuse connections would otherwise send on one that is about to be closed.
    this.callerServer?.startDraining();
    await waitAtMost(this.witness.drain(), this.drainAdmission.usableMs);
    const { lifetimeMs } = this.settings.locate;
    await delay(Math.min(lifetimeMs, this.drainAdmission.usableMs));
    this.callerServer?.stopListening();
    this.owner.stopAccepting();
    while (this.isBusy && this.drainAdmission.usableMs > 0) {
      await delay(POLL_INTERVAL_MS);
    }
    this.drainAdmission.end();
    while (this.openRequests > 0 && readClock() < closeAt) {
      await delay(END_POLL_INTERVAL_MS);
    }
    await waitAtMost(this.witness.drain(), closeAt - readClock());
    this.logger.info(
      { unfinished: this.openRequests },
      "drain_ended",
    );
    await this.callerServer?.closeInOrder({
      limitMs: signaledAt + limitMs - readClock() - EXIT_TIME_MS,
    });
    await this.close();
  }

  /** Stops immediately. */
  async close(): Promise<void> {
    this.phase = "closing";
    this.callerServer?.close();
    await this.platform?.close();
    this.membership?.close();
    await this.connectionPool.close();
    await this.peerServer?.close();
    await this.owner.close();
    this.witness.close();
    this.crashes.close();
    this.configuration.close();
    this.pauseDetector.close();
    this.metrics.close();
    stopActorSystem(this.system);
  }

  /** @internal */
  getHostList(): HostList {
    return this.membership?.hosts ?? { version: 0, hosts: [] };
  }

  private get openRequests(): number {
    return this.callerServer?.openRequests ?? 0;
  }

  private get isBusy(): boolean {
    return this.openRequests > 0 || this.owner.openJobs > 0;
  }

  private getCommonOptions() {
    return {
      settings: this.settings,
      system: this.system,
      pauseDetector: this.pauseDetector,
      logger: this.logger,
      audit: this.audit,
      loads: this.loads,
      getView: () => this.view,
      getPlacement: () => this.placement,
      onUnreachable: (id: string) => this.membership?.reportUnreachable(id),
    };
  }

  private async open(): Promise<void> {
    const { settings } = this;
    const maxFrameBytes = settings.limits.maxBodyBytes + FRAME_OVERHEAD_BYTES;
    this.peerServer = await PeerServer.create(
      settings.peer,
      this.authenticator,
      maxFrameBytes,
      (port) => attachFrameHandlers(this, port),
    );
    this.membership = await Membership.create({
      ...this.getCommonOptions(),
      authenticator: this.authenticator,
      getConfiguration: () => this.getConfigurationDigest(),
      getLoads: () => this.owner.getLoads(),
      onPeerConfiguration: (id, digest, revision) =>
        this.configuration.reconcileWithPeer(id, digest, revision),
      onPeerLoads: (id, loads) => this.owner.recordPeerLoads(id, loads),
      onNewerHostList: (id, version) =>
        this.hostListPuller.handleNewerVersion(id, version),
      onView: (view) => this.applyView(view),
    });
    this.platform = PlatformWatcher.create({
      ...this.getCommonOptions(),
      membership: this.membership,
      configuration: this.configuration,
    });
    this.callerServer = await CallerServer.create(this.createEntryContext());
    this.logger.info({
      http: settings.http.port,
      peer: settings.peer.port,
      version: VERSION,
    }, "router_started");
    void this.becomeReady();
  }

  private createEntryContext() {
    return {
      settings: this.settings,
      logger: this.logger,
      metrics: this.metrics,
      audit: this.audit,
      configuration: this.configuration,
      connectionPool: this.connectionPool,
      dispatcher: this.dispatcher,
      outcomes: this.outcomes,
      drain: this.drainAdmission,
      getView: () => this.view,
      getPlacement: () => this.placement,
      getPhase: () => this.phase,
      describe: () => this.describe(),
    };
  }

  /** Waits for a host list, then for configuration documents from peers or the platform, and starts to serve. */
  private async becomeReady(): Promise<void> {
    const wait = StartWait.create({
      logger: this.logger,
      isStarting: () => this.phase === "starting",
    });
    await wait.waitFor("host_list", () => this.view.version > 0);
    void this.witness.synchronize();
    await wait.waitFor("documents", () => this.readDocuments(), () => ({
      revision: this.configuration.documents.revision,
      routers: this.view.routers.length,
    }));
    if (this.phase !== "starting") return;
    this.phase = "serving";
    this.membership?.setUnavailable(false);
    this.logger.info(
      { revision: this.configuration.documents.revision },
      "router_serving",
    );
  }

  /** Pulls the configuration documents from some peers; returns whether they or the platform have delivered all. */
  private async readDocuments(): Promise<boolean> {
    const peerIds = this.view.routers.map((router) => router.host.id).filter((
      id,
    ) => id !== this.settings.id);
    const pulls = await Promise.all(
      peerIds.slice(0, STARTUP_PULL_PEERS).map((id) =>
        this.configuration.pullAll(id)
      ),
    );
    const hasPulled = pulls.includes(true) &&
      this.configuration.documents.revision > 0;
    return hasPulled || this.platform?.hasDocuments === true;
  }

  private applyView(view: FleetView): void {
    this.crashes.handleViewChange(this.view, view);
    this.view = view;
    this.placement = PlacementTable.create(view, this.settings.region);
    this.connectionPool.closeLostConnections(view);
    this.witness.handleViewChange(view);
  }

  private handlePause(gapMs: number): void {
    this.membership?.cancelProbes();
    this.owner.handlePause();
    this.logger.warn({ gapMs: Math.round(gapMs) }, "process_was_paused");
  }

  private getConfigurationDigest(): { digest: number; revision: number } {
    return {
      digest: this.configuration.documents.digest,
      revision: this.configuration.documents.revision,
    };
  }

  private describe(): RouterStatus {
    return buildRouterStatus({
      id: this.settings.id,
      phase: this.phase,
      configuration: {
        ...this.getConfigurationDigest(),
        customers: this.configuration.customers.size,
      },
      view: this.view,
      upstreams: this.owner.describe(),
      openRequests: this.callerServer?.openRequests ?? 0,
      witness: this.witness.describe(),
      probes: getOrThrow(this.membership, "membership").traffic,
    });
  }
}
