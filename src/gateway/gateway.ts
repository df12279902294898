import { CrashGuard } from "../crashes/crash_guard.ts";
import { watchClock } from "../clock/clock.ts";
import type { HeaderCodec } from "../forward/caller_headers.ts";
import { describeFingerprint } from "../hashing/request_fingerprint.ts";
import { CallServer } from "../forward/call_server.ts";
import type { Logger } from "../logging/logger.ts";
import type { PeerEntry } from "../peers/gossip_schema.ts";
import type { KnownHost } from "../peers/known_host.ts";
import type { PublicationFeed } from "../published/publication_feed.ts";
import { PublicationKeeper } from "../published/publication_keeper.ts";
import type { RouteTable } from "../published/route_table.ts";
import type { EngineInventory } from "../upstreams/engine_inventory.ts";
import type { CallerSurface } from "./caller_surface.ts";
import { CallHandler } from "./call_handler.ts";
import { FleetLink } from "./fleet_link.ts";
import { GatewayEndpoints } from "./gateway_endpoints.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { type GatewaySettings, pickFixed } from "./gateway_settings.ts";
import { PlannedStop } from "./planned_stop.ts";
import { PrefixExchange } from "./prefix_exchange.ts";
import { PrefixRecovery } from "./prefix_recovery.ts";
import { PublicationExchange } from "./publication_exchange.ts";
import { PublicationWatch } from "./publication_watch.ts";
import { UpstreamChooser } from "./upstream_chooser.ts";

/** Part of the bound on old keys that is used; the rest is for a request's way to its upstream. */
const KEY_BELIEF_PART = 0.8;

/** What a gateway is made of beside its settings. */
export interface GatewayParts {
  logger: Logger;
  feed: PublicationFeed;
  inventory: EngineInventory;
  codec: HeaderCodec;
  surface: CallerSurface;
}

/** One host of the fleet: takes callers' requests and sends them to upstreams itself. It puts the tasks together: what is
 * published, other hosts, upstreams and the answers to callers. */
export class Gateway {
  private readonly logger: Logger;
  private readonly metrics = GatewayMetrics.create();
  private readonly stop = PlannedStop.create();
  private readonly keeper: PublicationKeeper;
  private readonly chooser: UpstreamChooser;
  private readonly handler: CallHandler;
  private readonly guard: CrashGuard;
  private readonly publicationExchange: PublicationExchange;
  private readonly prefixExchange: PrefixExchange;
  private resolveFirstRoutes: () => void = () => undefined;
  private readonly firstRoutes = new Promise<void>((resolve) =>
    this.resolveFirstRoutes = resolve
  );
  private link: FleetLink | undefined;
  private watch: PublicationWatch | undefined;
  private endpoints: GatewayEndpoints | undefined;
  private server: CallServer | undefined;
  private readonly unwatchClock = watchClock((jumpMs) => {
    const { ageMs } = this.keeper;
    this.logger.warn({ jumpMs, ageMs: Math.round(ageMs) }, "time_jumped");
  });

  private constructor(
    private settings: GatewaySettings,
    private readonly parts: GatewayParts,
  ) {
    this.logger = parts.logger;
    this.guard = this.createGuard();
    this.chooser = this.createChooser();
    this.keeper = PublicationKeeper.create({
      logger: this.logger,
      onConfiguration: (routes) => this.applyConfiguration(routes),
      onEra: (era) => this.metrics.noteEra(era),
      onUpstreams: (changes) => {
        this.chooser.upstreams.apply(changes);
        this.link?.announce();
      },
    });
    this.publicationExchange = PublicationExchange.create(
      this.keeper,
      this.logger,
    );
    this.prefixExchange = PrefixExchange.create(
      this.chooser.prefixes,
      this.logger,
    );
    this.handler = this.createHandler();
  }

  /** Starts a gateway; it takes requests as soon as it has a configuration.
   * @param settings The settings.
   * @param parts What it is made of. */
  static async start(
    settings: GatewaySettings,
    parts: GatewayParts,
  ): Promise<Gateway> {
    const gateway = new Gateway(settings, parts);
    await gateway.open();
    return gateway;
  }

  /** Takes over changed settings; addresses hold until the next start.
   * @param settings The settings. */
  reload(settings: GatewaySettings): void {
    const { seedAddresses } = settings;
    this.logger.info({ seeds: seedAddresses.join(",") }, "settings_reloaded");
    this.settings = { ...settings, ...pickFixed(this.settings) };
    this.chooser.resetRetries();
  }

  /** Stops as planned: leaves the answers with addresses, goes on taking requests while callers may keep those, and lets
   * what runs end. */
  async drain(): Promise<void> {
    if (this.stop.hasStarted) return;
    this.stop.start();
    this.logger.info({ openCalls: this.handler.openCalls }, "stop_started");
    this.link?.announce();
    await this.stop.waitForCalls(
      this.settings.stopWithinMs,
      () => this.handler.openCalls,
    );
    this.server?.stopListening();
    this.server?.closeIdle();
    this.logger.info({ unfinished: this.handler.openCalls }, "stop_ended");
    await this.close();
  }

  /** Stops at once. */
  async close(): Promise<void> {
    this.unwatchClock();
    this.watch?.close();
    this.server?.close();
    this.chooser.close();
    this.guard.close();
    this.endpoints?.close();
    await this.link?.close();
    await this.publicationExchange.close();
    await this.prefixExchange.close();
    await this.parts.inventory.close();
    await this.parts.feed.close();
  }

  private async open(): Promise<void> {
    const { settings, logger } = this;
    this.watch = this.createWatch();
    const [server, link, endpoints] = await Promise.all([
      CallServer.create(
        settings.callerAddress,
        logger,
        (request, response) => this.handler.handle(request, response),
      ),
      this.createLink(),
      this.createEndpoints(),
    ]);
    this.server = server;
    this.link = link;
    this.endpoints = endpoints;
    if (this.keeper.routes) server.applyLimits(this.keeper.routes.limits);
    if (settings.isFirstStart) this.chooser.prefixes.markComplete();
    else void this.recoverPrefixes();
    logger.info({ address: settings.callerAddress }, "gateway_started");
  }

  private async recoverPrefixes(): Promise<void> {
    await this.firstRoutes;
    const recovery = PrefixRecovery.create({
      logger: this.logger,
      prefixes: this.chooser.prefixes,
      inventory: this.parts.inventory,
      hostId: this.settings.id,
      exchange: this.prefixExchange,
      getHosts: () => this.getLiveHosts().map((host) => host.entry),
      getEngines: () => this.chooser.getFetchingEngines(),
    });
    await recovery.run();
    this.link?.announce();
  }

  private createGuard(): CrashGuard {
    return CrashGuard.create({
      logger: this.logger,
      describe: describeFingerprint,
      onNews: () => this.link?.tellCrashes(),
      onHeld: (fingerprint) => this.handler.holdBack(fingerprint),
      onCrash: (upstream) => {
        this.metrics.noteCrash();
        this.chooser.noteCrashed(upstream);
      },
      onRumour: (upstream) => {
        const known = this.chooser.upstreams.findByShortName(upstream);
        if (known) this.guard.noteRumour(known);
      },
    });
  }

  private createChooser(): UpstreamChooser {
    return UpstreamChooser.create({
      logger: this.logger,
      getSettings: () => this.settings,
      getService: (name) => this.keeper.routes?.getService(name),
      countHosts: () => 1 + this.getLiveHosts().length,
      countSharingHosts: () => this.link?.countSharingHosts() ?? 1,
      getLapseEndsAt: () => this.keeper.lapseEndsAt,
      onFacts: () => this.link?.tellFacts(),
      onRestart: (before) => this.handler.loseUpstream(before),
      onAvailability: (change) => this.metrics.noteAvailability(change),
      onDrop: ({ shortName }) => this.guard.noteGone(shortName),
      onSend: ({ basis }, { countAgeMs }) =>
        this.metrics.noteSend(basis, countAgeMs),
      onSign: (sign) => this.metrics.noteAttempt(sign),
    });
  }

  private createLink(): Promise<FleetLink> {
    return FleetLink.create({
      logger: this.logger,
      getSettings: () => this.settings,
      keeper: this.keeper,
      chooser: this.chooser,
      publicationExchange: this.publicationExchange,
      metrics: this.metrics,
      guard: this.guard,
      getPhase: () => this.phase,
      getSourceIds: () => this.watch?.getSources() ?? [],
    });
  }

  private createWatch(): PublicationWatch {
    return PublicationWatch.create({
      logger: this.logger,
      feed: this.parts.feed,
      keeper: this.keeper,
      getHostId: () => this.settings.id,
      getLiveHosts: () => this.getLiveHosts(),
      hasOthersFirst: () => {
        const { seedAddresses, gossipAddress } = this.settings;
        return seedAddresses.length > 0 &&
          !seedAddresses.includes(gossipAddress);
      },
    });
  }

  private createEndpoints(): Promise<GatewayEndpoints> {
    return GatewayEndpoints.create({
      getSettings: () => this.settings,
      surface: this.parts.surface,
      metrics: this.metrics,
      publicationExchange: this.publicationExchange,
      prefixExchange: this.prefixExchange,
      getHostExchange: () => this.link?.hostExchange,
      isReady: () => this.isReady,
      isServing: () => this.isServing,
      getLiveHosts: () => this.getLiveHosts(),
      getAgeMs: () => this.keeper.ageMs,
    });
  }

  private createHandler(): CallHandler {
    return CallHandler.create({
      logger: this.logger,
      metrics: this.metrics,
      codec: this.parts.codec,
      getRoutes: () => this.keeper.routes,
      firstRoutes: this.firstRoutes,
      mayHonourKeys: () => this.mayHonourKeys,
      getAgeMs: () => this.keeper.ageMs,
      isLeaving: () => this.stop.closesConnections,
      onFirstSend: (service) => this.chooser.noteFirstSend(service),
      learnPart: (part) => this.link?.learnPart(part),
      upstreamAccess: this.chooser.createAccess(),
      guard: this.guard,
    });
  }

  private get mayHonourKeys(): boolean {
    const { keyBeliefMs } = this.settings;
    if (keyBeliefMs === undefined) return true;
    return this.keeper.ageMs < keyBeliefMs * KEY_BELIEF_PART;
  }

  private get isReady(): boolean {
    return this.keeper.routes !== undefined && !this.stop.hasStarted;
  }

  /** Whether callers should send requests here: the host is ready and may honour their keys. */
  private get isServing(): boolean {
    return this.isReady && this.mayHonourKeys;
  }

  private get phase(): PeerEntry["phase"] {
    if (this.stop.hasStarted) return "draining";
    return this.isServing ? "ready" : "starting";
  }

  private applyConfiguration(routes: RouteTable): void {
    this.server?.applyLimits(routes.limits);
    this.handler.applyRoutes(routes);
    this.metrics.noteConfiguration(routes.version);
    this.resolveFirstRoutes();
    this.link?.announce();
  }

  private getLiveHosts(): readonly KnownHost[] {
    return this.link?.getLiveHosts() ?? [];
  }
}
