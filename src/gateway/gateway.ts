import { CrashGuard } from "../crashes/crash_guard.ts";
import { onClockJump, readClock } from "../clock/clock.ts";
import type { HeaderCodec } from "../forward/caller_headers.ts";
import { formatFingerprint } from "../hashing/request_fingerprint.ts";
import { CallServer } from "../forward/call_server.ts";
import { type Dial, dialTcp } from "../network/dial_tcp.ts";
import type { Logger } from "../logging/logger.ts";
import type { KnownHost } from "../peers/known_host.ts";
import type { PublicationFeed } from "../published/publication_feed.ts";
import { PublicationGate } from "../published/publication_gate.ts";
import { PublicationReplica } from "../published/publication_replica.ts";
import type { RouteTable } from "../published/route_table.ts";
import type { EngineInventory } from "../upstreams/engine_inventory.ts";
import type { DiscoveryProtocol } from "./discovery_protocol.ts";
import type { CallHandler } from "./call_handler.ts";
import { createCallHandler } from "./create_call_handler.ts";
import { createChooser } from "./create_chooser.ts";
import { GatewayEndpoints } from "./gateway_endpoints.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import {
  type GatewaySettings,
  getApplyWithinMs,
  pickRestartOnly,
} from "./gateway_settings.ts";
import { GracefulStop } from "./graceful_stop.ts";
import { HostStatus } from "./host_status.ts";
import { PeerExchanges } from "./peer_exchanges.ts";
import { PeerNetwork } from "./peer_network.ts";
import { PublicationWatch } from "./publication_watch.ts";
import { PauseDetector } from "../clock/pause_detector.ts";
import { MIN_PAUSE_MS } from "../upstreams/check_upstream_runs.ts";
import type { InstanceReader } from "../upstreams/instance_reader.ts";
import type { UpstreamChooser } from "./upstream_chooser.ts";
import { UpstreamPaths } from "./upstream_paths.ts";

/** Interval at which pauses of the process are looked for, in milliseconds. */
const PAUSE_CHECK_INTERVAL_MS = 250;
/** Time of a graceful stop that is left for the exit of the process, in milliseconds. */
const EXIT_TIME_MS = 250;

/** The dependencies of a gateway that its settings do not describe. */
export interface GatewayDependencies {
  logger: Logger;
  feed: PublicationFeed;
  inventory: EngineInventory;
  instances: InstanceReader;
  codec: HeaderCodec;
  discoveryProtocol: DiscoveryProtocol;
  /** Establishes connections to upstreams; defaults to TCP. */
  dial?: Dial;
}

/** One host of the fleet: accepts callers' requests and forwards them to upstreams itself. This class wires together
 * the publication, the communication with other hosts, the choice of upstreams and the handling of requests. */
export class Gateway {
  private readonly logger: Logger;
  private readonly metrics = GatewayMetrics.create();
  private readonly stop = GracefulStop.create();
  private readonly status: HostStatus;
  private readonly replica: PublicationReplica;
  private readonly gate: PublicationGate;
  private readonly chooser: UpstreamChooser;
  private readonly handler: CallHandler;
  private readonly guard: CrashGuard;
  private readonly paths: UpstreamPaths;
  private readonly exchanges: PeerExchanges;
  private resolveInitialRoutes: () => void = () => undefined;
  private readonly initialRoutes = new Promise<void>((resolve) =>
    this.resolveInitialRoutes = resolve
  );
  private peerNetwork: PeerNetwork | undefined;
  private watch: PublicationWatch | undefined;
  private endpoints: GatewayEndpoints | undefined;
  private server: CallServer | undefined;
  private readonly pauses = PauseDetector.create(
    MIN_PAUSE_MS,
    (pausedMs) => this.handlePause(pausedMs),
    PAUSE_CHECK_INTERVAL_MS,
  );
  private readonly stopClockWatch = onClockJump((jumpMs) => {
    const { ageMs } = this.replica;
    this.logger.warn({ jumpMs, ageMs: Math.round(ageMs) }, "time_jumped");
  });

  private constructor(
    private settings: GatewaySettings,
    private readonly dependencies: GatewayDependencies,
  ) {
    this.logger = dependencies.logger;
    this.guard = this.createGuard();
    this.paths = this.createPaths();
    this.chooser = createChooser({
      logger: this.logger,
      metrics: this.metrics,
      guard: this.guard,
      paths: this.paths,
      pauses: this.pauses,
      instances: dependencies.instances,
      getSettings: () => this.settings,
      getReplica: () => this.replica,
      getGate: () => this.gate,
      getHandler: () => this.handler,
      getPeerNetwork: () => this.peerNetwork,
    });
    this.replica = PublicationReplica.create({
      logger: this.logger,
      onConfiguration: (routes) => this.applyConfiguration(routes),
      onNewEra: (era) => this.metrics.recordEra(era),
      onUpstreamChanges: (changes) => {
        this.chooser.upstreams.apply(changes);
        this.peerNetwork?.announce();
      },
      onEvacuations: (halls) => this.applyEvacuations(halls),
      onObservationGap: (isFirst) => this.recordObservationGap(isFirst),
      onConfirmed: () => this.gate.recheck(),
    });
    this.gate = this.createGate();
    this.status = this.createStatus();
    this.exchanges = PeerExchanges.create({
      logger: this.logger,
      hostId: settings.id,
      replica: this.replica,
      chooser: this.chooser,
      inventory: dependencies.inventory,
      feed: dependencies.feed,
      onPublicationFetched: (result) =>
        this.metrics.publication.recordFetch(result),
      getHosts: () => this.getLiveHosts().map(({ entry }) => entry),
      getSourceIds: () => this.watch?.getSources() ?? [],
    });
    this.handler = this.createHandler();
  }

  /** Starts a gateway, which serves requests as soon as it has a configuration.
   * @param settings The settings.
   * @param dependencies The adapters and the logger. */
  static async start(
    settings: GatewaySettings,
    dependencies: GatewayDependencies,
  ): Promise<Gateway> {
    const gateway = new Gateway(settings, dependencies);
    await gateway.open();
    return gateway;
  }

  /** Applies changed settings. Those that {@link pickRestartOnly} names keep their values until the next start.
   * @param settings The new settings. */
  reload(settings: GatewaySettings): void {
    const { seedAddresses } = settings;
    this.logger.info({ seeds: seedAddresses.join(",") }, "settings_reloaded");
    this.settings = { ...settings, ...pickRestartOnly(this.settings) };
  }

  /** Stops gracefully: withdraws this host from the address lists, keeps accepting requests while callers may still
   * have it in cached lists, and lets open calls finish.
   * @param signaledAt Monotonic milliseconds at which the stop was asked for; now by default. */
  async drain(signaledAt = readClock()): Promise<void> {
    if (this.stop.hasStarted) return;
    this.startStop(signaledAt);
    await this.stop.waitForOpenCalls(
      () => this.handler.openCalls + this.paths.server.openTunnels,
    );
    await this.endStop();
    await this.close();
  }

  /** Stops immediately, without waiting for open calls. */
  async close(): Promise<void> {
    this.stopClockWatch();
    this.pauses.close();
    this.watch?.close();
    this.server?.close();
    this.paths.close();
    this.chooser.close();
    this.guard.close();
    this.endpoints?.close();
    await this.peerNetwork?.close();
    await this.exchanges.close();
    await this.dependencies.inventory.close();
    await this.dependencies.instances.close();
    await this.dependencies.feed.close();
  }

  private handlePause(pausedMs: number): void {
    this.logger.warn({ pausedMs }, "process_paused");
    this.peerNetwork?.updatePublication();
  }

  private startStop(signaledAt: number): void {
    const limitMs = this.settings.stopTimeoutMs;
    const { delayMs } = this.pauses;
    this.stop.start(limitMs, signaledAt, delayMs);
    const { openCalls } = this.handler;
    const lateMs = Math.round(readClock() - signaledAt + delayMs);
    this.logger.info({ openCalls, limitMs, lateMs }, "stop_started");
    this.peerNetwork?.announce();
  }

  /** Ends the calls that are still open, and then the connections of callers once all responses have been sent. */
  private async endStop(): Promise<void> {
    const unfinished = this.handler.openCalls;
    const retryAfterMs = this.status.stopRetryMs;
    this.stop.end();
    this.handler.endForStop(retryAfterMs);
    this.logger.info({ unfinished }, "stop_ended");
    const limitMs = this.stop.exitWithinMs - EXIT_TIME_MS;
    const endedAt = readClock();
    await this.server?.closeInOrder({ limitMs, retryAfterMs });
    const tookMs = Math.round(readClock() - endedAt);
    this.logger.info({ tookMs }, "connections_closed");
  }

  private async open(): Promise<void> {
    const { settings, logger } = this;
    this.watch = this.createWatch();
    const [server, peerNetwork, endpoints] = await Promise.all([
      CallServer.create(
        settings.callerAddress,
        logger,
        (request, response, receipt) =>
          this.handler.handle(request, response, receipt),
      ),
      this.createPeerNetwork(),
      this.createEndpoints(),
    ]);
    this.server = server;
    this.peerNetwork = peerNetwork;
    this.endpoints = endpoints;
    if (this.replica.routes) server.applyLimits(this.replica.routes.limits);
    if (settings.isFirstStart) this.chooser.prefixes.markComplete();
    else void this.recover();
    logger.info({ address: settings.callerAddress }, "gateway_started");
  }

  private async recover(): Promise<void> {
    await this.initialRoutes;
    await this.exchanges.recover();
    this.peerNetwork?.announcePrefixUpdates();
  }

  private createGuard(): CrashGuard {
    return CrashGuard.create({
      logger: this.logger,
      formatFingerprint,
      check: ({ instanceHash }) => this.paths.checkCrash(instanceHash),
      onPendingNews: () => this.peerNetwork?.crashes.announce(),
      onHeld: (hold) => this.handler.refuseHeldCalls(hold),
      isTrialHost: (part) =>
        this.peerNetwork?.crashes.isTrialHost(part) ?? false,
      onCrash: (instanceHash) => {
        this.metrics.recordCrash();
        this.chooser.markCrashed(instanceHash);
      },
      onCrashReported: (instanceHash) => {
        const known = this.chooser.upstreams.findByInstanceHash(instanceHash);
        if (known) this.guard.checkReportedCrash(known);
      },
    });
  }

  private createStatus(): HostStatus {
    return HostStatus.create({
      stop: this.stop,
      replica: this.replica,
      getSettings: () => this.settings,
      isPartitioned: () => this.paths.isPartitioned,
      getLiveHosts: () => this.getLiveHosts(),
    });
  }

  private createPaths(): UpstreamPaths {
    return UpstreamPaths.create({
      logger: this.logger,
      metrics: this.metrics,
      dial: this.dependencies.dial ?? dialTcp,
      hall: this.settings.hall,
      getChooser: () => this.chooser,
      getPeerNetwork: () => this.peerNetwork,
      isAccepting: () => this.status.isServing,
    });
  }

  private createPeerNetwork(): Promise<PeerNetwork> {
    return PeerNetwork.create({
      logger: this.logger,
      getSettings: () => this.settings,
      replica: this.replica,
      chooser: this.chooser,
      publicationExchange: this.exchanges.publication,
      metrics: this.metrics,
      guard: this.guard,
      paths: this.paths.monitor,
      getPhase: () => this.status.phase,
      getSourceIds: () => this.watch?.getSources() ?? [],
      getLateSourceIds: () => this.watch?.getLateSources() ?? [],
    });
  }

  private createGate(): PublicationGate {
    return PublicationGate.create({
      logger: this.logger,
      publication: this.replica,
      getApplyWithinMs: () => getApplyWithinMs(this.settings),
      onOutdated: () => this.peerNetwork?.updatePublication(),
    });
  }

  private createWatch(): PublicationWatch {
    return PublicationWatch.create({
      logger: this.logger,
      feed: this.dependencies.feed,
      replica: this.replica,
      applyWithinMs: getApplyWithinMs(this.settings),
      getHostId: () => this.settings.id,
      getLiveHosts: () => this.getLiveHosts(),
      hasPausedWithin: (durationMs) => this.pauses.hasPausedWithin(durationMs),
      mayBootstrapFromPeers: () => {
        const { seedAddresses, gossipAddress } = this.settings;
        return seedAddresses.length > 0 &&
          !seedAddresses.includes(gossipAddress);
      },
    });
  }

  private createEndpoints(): Promise<GatewayEndpoints> {
    return GatewayEndpoints.create({
      getSettings: () => this.settings,
      discoveryProtocol: this.dependencies.discoveryProtocol,
      metrics: this.metrics,
      exchanges: this.exchanges,
      getHostExchange: () => this.peerNetwork?.hostExchange,
      isReady: () => this.status.isReady,
      isServing: () => this.status.isServing,
      getLiveHosts: () => this.getLiveHosts(),
      getPublicationAgeMs: () => this.replica.ageMs,
      relayServer: this.paths.server,
      getServiceContacts: () => this.paths.getServiceContacts(),
      countPaced: () => this.chooser.candidates.pacer.countPaced(),
    });
  }

  private createHandler(): CallHandler {
    const { logger, metrics, replica, chooser, guard, status, stop } = this;
    return createCallHandler({
      logger,
      metrics,
      codec: this.dependencies.codec,
      replica,
      gate: this.gate,
      chooser,
      guard,
      status,
      stop,
      initialRoutes: this.initialRoutes,
      awaitVersions: () => this.exchanges.versions.pending,
      getPeerNetwork: () => this.peerNetwork,
    });
  }

  private applyConfiguration(routes: RouteTable): void {
    this.server?.applyLimits(routes.limits);
    this.handler.applyRoutes(routes);
    this.metrics.recordConfiguration(routes.version);
    this.resolveInitialRoutes();
    this.peerNetwork?.announce();
  }

  private recordObservationGap(isFirst: boolean): void {
    const { versions } = this.chooser.upstreams;
    if (isFirst && this.settings.isFirstStart) versions.markComplete();
    else versions.recordGap();
  }

  private applyEvacuations(halls: readonly string[]): void {
    this.chooser.upstreams.setEvacuatedHalls(halls);
    this.metrics.recordEvacuatedHalls(halls.length);
    this.peerNetwork?.announce();
  }

  private getLiveHosts(): readonly KnownHost[] {
    return this.peerNetwork?.getLiveHosts() ?? [];
  }
}
