import { readClock } from "../clock/clock.ts";
import { setTimeout as delay } from "node:timers/promises";
import {
  type ActorSystem,
  startActorSystem,
  stopActorSystem,
} from "../actors/actor.ts";
import { AuditTrail } from "../audit/audit_trail.ts";
import { PauseGuard } from "../clock/pause_guard.ts";
import { ConfigurationKeeper } from "../configuration/configuration_keeper.ts";
import { CallerServer } from "../entry/caller_server.ts";
import { Dispatcher } from "../entry/dispatcher.ts";
import type { RouterPhase } from "../entry/entry_context.ts";
import { OutcomeStore } from "../entry/outcome_store.ts";
import { getOrThrow } from "../errors/checks.ts";
import { createLogger, type Logger } from "../logging/logger.ts";
import { FleetView } from "../membership/fleet_view.ts";
import { Membership } from "../membership/membership.ts";
import { Metrics } from "../metrics/metrics.ts";
import { LoadBook } from "../owner/load_book.ts";
import { Owner } from "../owner/owner.ts";
import { FleetSecret } from "../peer/fleet_secret.ts";
import { PeerDirectory } from "../peer/peer_directory.ts";
import { PeerServer } from "../peer/peer_server.ts";
import { PlacementTable } from "../placement/placement_table.ts";
import type { HostList } from "../configuration_service/host_schema.ts";
import type { Settings } from "../settings/settings_schema.ts";
import { Witness } from "../witness/witness.ts";
import { attachPort } from "./frame_handlers.ts";
import { HostListPull } from "./host_list_pull.ts";
import { PlatformWatch } from "./platform_watch.ts";
import { describeRouter } from "./describe_router.ts";
import type { RouterStatus } from "./router_status.ts";
import { RouterCrashes } from "./router_crashes.ts";
import { VERSION } from "./version.ts";

/** Room in a frame beside the largest body. */
const FRAME_OVERHEAD_BYTES = 256 * 1024;
/** Interval at which readiness and the end of work are looked at. */
const CHECK_INTERVAL_MS = 50;
/** Peers asked for their documents before a router serves. */
const FIRST_PULLS = 3;
/** Outcomes of keyed requests that are kept. */
const MAX_OUTCOMES = 20_000;

/** One router: entry for callers and owner of some upstreams, with everything both need. */
export class Router {
  private readonly logger: Logger;
  private readonly metrics: Metrics;
  private readonly audit: AuditTrail;
  private readonly system: ActorSystem = startActorSystem();
  private readonly guard: PauseGuard;
  private readonly secret: FleetSecret;
  private readonly loads = LoadBook.create();
  /** @internal */
  readonly outcomes: OutcomeStore;
  private readonly directory: PeerDirectory;
  /** @internal */
  readonly configuration: ConfigurationKeeper;
  /** @internal */
  readonly owner: Owner;
  /** @internal */
  readonly witness: Witness;
  /** @internal */
  readonly crashes: RouterCrashes;
  private readonly dispatcher: Dispatcher;
  private readonly hostListPull: HostListPull;
  private membership: Membership | undefined;
  private platform: PlatformWatch | undefined;
  private peers: PeerServer | undefined;
  private callers: CallerServer | undefined;
  private view: FleetView;
  private placement: PlacementTable;
  private phase: RouterPhase = "starting";

  private constructor(private readonly settings: Settings) {
    this.logger = createLogger(settings.id, settings.logLevel);
    this.metrics = Metrics.create(settings.metrics, settings.id);
    this.audit = AuditTrail.create(settings.audit.capacity, this.logger);
    this.secret = FleetSecret.create(settings.fleetSecret);
    this.outcomes = OutcomeStore.create(settings.keys.rememberMs, MAX_OUTCOMES);
    this.view = FleetView.create(settings.id, 0, [], []);
    this.placement = PlacementTable.create(this.view, settings.region);
    this.guard = PauseGuard.create(
      settings.membership.pauseThresholdMs,
      (gapMs) => this.onPause(gapMs),
    );
    const shared = this.getShared();
    this.directory = PeerDirectory.create({
      ...shared,
      ownId: settings.id,
      authenticator: this.secret,
      connectTimeoutMs: settings.routing.acceptTimeoutMs,
      acceptLoopback: (port) => attachPort(this, port),
    });
    this.configuration = ConfigurationKeeper.create({
      ...shared,
      directory: this.directory,
    });
    this.witness = Witness.create({
      ...shared,
      connectionPool: this.directory,
    });
    this.owner = Owner.create({
      ...shared,
      onLoadGrew: () => this.membership?.pushLoads(),
    });
    this.hostListPull = HostListPull.create(
      this.directory,
      () => this.getHosts().version,
      (list) => this.membership?.offerHostList(list),
    );
    this.crashes = RouterCrashes.create({
      ...shared,
      metrics: this.metrics,
      directory: this.directory,
    });
    this.dispatcher = Dispatcher.create({
      ...shared,
      directory: this.directory,
      crashGuard: this.crashes.guard,
    });
  }

  /** Starts a router; it serves as soon as it has a configuration and a host list.
   * @param settings The settings. */
  static async start(settings: Settings): Promise<Router> {
    const router = new Router(settings);
    await router.open();
    return router;
  }

  /** Stops as planned: leaves the answers to callers, serves on for their lifetime, finishes what is under way. */
  async drain(): Promise<void> {
    if (this.phase === "draining" || this.phase === "closing") return;
    const endsAt = readClock() + this.settings.drain.limitMs;
    this.phase = "draining";
    this.logger.info(
      { openRequests: this.callers?.openRequests },
      "drain_started",
    );
    this.membership?.setUnavailable(true);
    await this.witness.drain();
    await delay(this.settings.locate.lifetimeMs);
    this.callers?.startDraining();
    this.callers?.stopListening();
    this.owner.stopAccepting();
    while (this.isBusy && readClock() < endsAt) {
      await delay(CHECK_INTERVAL_MS);
    }
    await this.witness.drain();
    this.logger.info(
      { unfinished: this.callers?.openRequests ?? 0 },
      "drain_ended",
    );
    await this.close();
  }

  /** Stops at once. */
  async close(): Promise<void> {
    this.phase = "closing";
    this.callers?.close();
    await this.platform?.close();
    this.membership?.close();
    await this.directory.close();
    await this.peers?.close();
    await this.owner.close();
    this.witness.close();
    this.crashes.close();
    this.configuration.close();
    this.guard.close();
    this.metrics.close();
    stopActorSystem(this.system);
  }

  /** @internal */
  getHosts(): HostList {
    return this.membership?.hosts ?? { version: 0, hosts: [] };
  }

  private get isBusy(): boolean {
    return (this.callers?.openRequests ?? 0) > 0 || this.owner.openJobs > 0;
  }

  private getShared() {
    return {
      settings: this.settings,
      system: this.system,
      guard: this.guard,
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
    const frameLimit = settings.limits.maxBodyBytes + FRAME_OVERHEAD_BYTES;
    this.peers = await PeerServer.create(
      settings.peer,
      this.secret,
      frameLimit,
      (port) => attachPort(this, port),
    );
    this.membership = await Membership.create({
      ...this.getShared(),
      secret: this.secret,
      getConfiguration: () => this.getConfigurationDigest(),
      getLoads: () => this.owner.getLoads(),
      onPeerConfiguration: (id, digest, revision) =>
        this.configuration.noticePeer(id, digest, revision),
      onPeerLoads: (id, loads) => this.owner.takePeerLoads(id, loads),
      onNewerHosts: (id, version) => this.hostListPull.notice(id, version),
      onView: (view) => this.takeView(view),
    });
    this.platform = PlatformWatch.create({
      ...this.getShared(),
      membership: this.membership,
      configuration: this.configuration,
    });
    this.callers = await CallerServer.create(this.createEntryContext());
    this.logger.info({
      http: settings.http.port,
      peer: settings.peer.port,
      version: VERSION,
    }, "router_started");
    void this.becomeReady();
  }

  private createEntryContext() {
    const {
      settings,
      logger,
      metrics,
      audit,
      configuration,
      directory,
      dispatcher,
      outcomes,
    } = this;
    return {
      settings,
      logger,
      metrics,
      audit,
      configuration,
      directory,
      dispatcher,
      outcomes,
      getView: () => this.view,
      getPlacement: () => this.placement,
      getPhase: () => this.phase,
      describe: () => this.describe(),
    };
  }

  /** Waits for a host list, then for the documents of some peers or of the platform, before it serves. */
  private async becomeReady(): Promise<void> {
    while (this.view.version === 0 && this.phase === "starting") {
      await delay(CHECK_INTERVAL_MS);
    }
    const others = this.view.routers.map((router) => router.host.id).filter((
      id,
    ) => id !== this.settings.id);
    void this.witness.synchronize();
    const pulls = await Promise.all(
      others.slice(0, FIRST_PULLS).map((id) => this.configuration.pullAll(id)),
    );
    const hasPulled = pulls.includes(true) &&
      this.configuration.documents.revision > 0;
    while (
      !hasPulled && !this.platform?.hasDocuments && this.phase === "starting"
    ) await delay(CHECK_INTERVAL_MS);
    if (this.phase !== "starting") return;
    this.phase = "serving";
    this.membership?.setUnavailable(false);
    this.logger.info(
      { revision: this.configuration.documents.revision },
      "router_serving",
    );
  }

  private takeView(view: FleetView): void {
    this.crashes.takeView(this.view, view);
    this.view = view;
    this.placement = PlacementTable.create(view, this.settings.region);
    this.directory.closeLostConnections(view);
    this.witness.handleViewChange(view);
  }

  private onPause(gapMs: number): void {
    this.membership?.forgetProbes();
    this.owner.notePause();
    this.logger.warn({ gapMs: Math.round(gapMs) }, "process_was_paused");
  }

  private getConfigurationDigest(): { digest: number; revision: number } {
    return {
      digest: this.configuration.documents.digest,
      revision: this.configuration.documents.revision,
    };
  }

  private describe(): RouterStatus {
    return describeRouter({
      id: this.settings.id,
      phase: this.phase,
      configuration: {
        ...this.getConfigurationDigest(),
        customers: this.configuration.customers.size,
      },
      view: this.view,
      upstreams: this.owner.describe(),
      openRequests: this.callers?.openRequests ?? 0,
      witness: this.witness.describe(),
      probes: getOrThrow(this.membership, "membership").traffic,
    });
  }
}
