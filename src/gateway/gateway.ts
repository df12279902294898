import type { ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import type { HeaderCodec } from "../forward/caller_headers.ts";
import { mayRunAgain, type RoutedCall } from "../forward/routed_call.ts";
import { CallServer } from "../forward/call_server.ts";
import { rankByRendezvous } from "../hashing/rendezvous.ts";
import type { Logger } from "../logging/logger.ts";
import { Gossip } from "../peers/gossip.ts";
import type { PeerEntry } from "../peers/gossip_schema.ts";
import { FeedWatcher } from "../published/feed_watcher.ts";
import type { PublicationFeed } from "../published/publication_feed.ts";
import { PublicationKeeper } from "../published/publication_keeper.ts";
import type { RouteTable } from "../published/route_table.ts";
import { Random } from "../random/random.ts";
import { chooseUpstream } from "../upstreams/choose_upstream.ts";
import { findFetchSource } from "../upstreams/find_fetch_source.ts";
import { LoadCounts } from "../upstreams/load_counts.ts";
import { PrefixIndex } from "../upstreams/prefix_index.ts";
import { RetryShare } from "../upstreams/retry_share.ts";
import type { EngineInventory } from "../upstreams/engine_inventory.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import { UpstreamTable } from "../upstreams/upstream_table.ts";
import type { CallerSurface } from "./caller_surface.ts";
import { CallHandler } from "./call_handler.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { type EndpointHandlers, HttpEndpoint } from "./http_endpoint.ts";
import { PREFIXES_PATH, PrefixExchange } from "./prefix_exchange.ts";
import { PrefixRecovery } from "./prefix_recovery.ts";
import { chooseAddresses } from "./locate.ts";
import {
  PUBLICATION_PATH,
  PublicationExchange,
} from "./publication_exchange.ts";

/** Hosts of a fleet that watch the platform; the others hear from them. */
const WATCHERS = 3;
/** Longest wait of one watch, in milliseconds. */
const WATCH_MS = 1_000;
/** Age of what is known at which a host watches although others are to, in milliseconds: beyond what a watcher's word
 * has on its way, two waits and two rounds of gossip. */
const SELF_WATCH_AGE_MS = 2_600;
/** Pause after a failed read of the platform, in milliseconds. */
const RETRY_MS = 200;
/** Interval at which a host that does not watch looks whether it should, in milliseconds. */
const IDLE_CHECK_MS = 100;
/** Part of the bound on old keys that is used; the rest is for a request's way to its upstream. */
const KEY_BELIEF_PART = 0.8;
/** Outage of the platform from which entries may have lapsed, in milliseconds. */
const LAPSE_OUTAGE_MS = 800;
/** Time after an outage in which a missing entry may only have lapsed, in milliseconds. */
const LAPSE_WINDOW_MS = 2_200;
/** Time for which callers may keep an answer with addresses, in milliseconds. */
const LOCATE_LIFETIME_MS = 500;
/** Time from the start of a planned stop after which answers close their connections, in milliseconds. */
const CLOSE_CONNECTIONS_AFTER_MS = 1_500;
/** Time for which a stopping host still takes requests, in milliseconds: three lifetimes of an answer with addresses,
 * for which some callers keep it. */
const LINGER_MS = 3_500;
/** Part of the time of a planned stop that may be used. */
const STOP_PART = 0.93;
/** Interval at which a stopping host looks whether its work is done, in milliseconds. */
const STOP_CHECK_MS = 50;

/** What a gateway is made of beside its settings. */
export interface GatewayParts {
  logger: Logger;
  feed: PublicationFeed;
  inventory: EngineInventory;
  codec: HeaderCodec;
  surface: CallerSurface;
}

/** One host of the fleet: takes callers' requests and sends them to upstreams itself. */
export class Gateway {
  private readonly logger: Logger;
  private readonly metrics = GatewayMetrics.create();
  private readonly random = Random.create();
  private readonly keeper: PublicationKeeper;
  private readonly upstreams: UpstreamTable;
  private readonly loads = LoadCounts.create();
  private readonly prefixes = PrefixIndex.create();
  private readonly retries = new Map<string, RetryShare>();
  private readonly handler: CallHandler;
  private readonly exchange: PublicationExchange;
  private readonly prefixExchange: PrefixExchange;
  private readonly endpoints: HttpEndpoint[] = [];
  private resolveFirstRoutes: () => void = () => undefined;
  private readonly firstRoutes = new Promise<void>((resolve) =>
    this.resolveFirstRoutes = resolve
  );
  private gossip: Gossip | undefined;
  private watcher: FeedWatcher | undefined;
  private server: CallServer | undefined;
  private regainedAt = -Infinity;
  private drainingSince: number | undefined;

  private constructor(
    private settings: GatewaySettings,
    private readonly parts: GatewayParts,
  ) {
    this.logger = parts.logger;
    this.upstreams = UpstreamTable.create({
      logger: this.logger,
      mayHaveLapsed: () =>
        performance.now() - this.regainedAt < LAPSE_WINDOW_MS,
      leaveWithinMs: settings.leaveWithinMs,
    });
    this.keeper = PublicationKeeper.create({
      logger: this.logger,
      onConfiguration: (routes) => this.applyConfiguration(routes),
      onUpstreams: (changes) => {
        this.upstreams.apply(changes);
        this.gossip?.announce();
      },
    });
    this.exchange = PublicationExchange.create(this.keeper, this.logger);
    this.prefixExchange = PrefixExchange.create(this.prefixes, this.logger);
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
    this.settings = settings;
    this.retries.clear();
  }

  /** Stops as planned: leaves the answers with addresses, goes on taking requests for their lifetime, ends what runs. */
  async drain(): Promise<void> {
    if (this.drainingSince !== undefined) return;
    const startedAt = performance.now();
    this.drainingSince = startedAt;
    this.logger.info({ openCalls: this.handler.openCalls }, "stop_started");
    this.gossip?.announce();
    const endsAt = startedAt + this.settings.stopWithinMs * STOP_PART;
    const lingersUntil = Math.min(startedAt + LINGER_MS, endsAt);
    while (performance.now() < endsAt) {
      const isLate = performance.now() >= lingersUntil;
      if (isLate && this.handler.openCalls === 0) break;
      await delay(STOP_CHECK_MS);
    }
    this.server?.stopListening();
    this.server?.closeIdle();
    this.logger.info({ unfinished: this.handler.openCalls }, "stop_ended");
    await this.close();
  }

  /** Stops at once. */
  async close(): Promise<void> {
    this.watcher?.close();
    this.gossip?.close();
    this.server?.close();
    this.upstreams.close();
    for (const endpoint of this.endpoints) endpoint.close();
    await this.exchange.close();
    await this.prefixExchange.close();
    await this.parts.inventory.close();
    await this.parts.feed.close();
  }

  private async open(): Promise<void> {
    const { settings, logger } = this;
    this.watcher = this.createWatcher();
    const [server, gossip] = await Promise.all([
      CallServer.create(
        settings.callerAddress,
        logger,
        (request, response) => this.handler.handle(request, response),
      ),
      this.createGossip(),
      this.openEndpoints(),
    ]);
    this.server = server;
    this.gossip = gossip;
    if (this.keeper.routes) server.applyLimits(this.keeper.routes.limits);
    if (settings.isFirstStart) this.prefixes.markComplete();
    else void this.recoverPrefixes();
    logger.info({ address: settings.callerAddress }, "gateway_started");
  }

  private async recoverPrefixes(): Promise<void> {
    await this.firstRoutes;
    const recovery = PrefixRecovery.create({
      logger: this.logger,
      prefixes: this.prefixes,
      inventory: this.parts.inventory,
      hostId: this.settings.id,
      exchange: this.prefixExchange,
      getHosts: () => this.getLiveHosts().map((host) => host.entry),
      getEngines: () => this.getFetchingEngines(),
    });
    await recovery.run();
    this.gossip?.announce();
  }

  /** Engines of the services that can take from each other what they keep. */
  private getFetchingEngines(): Upstream[] {
    const { routes } = this.keeper;
    return [...this.upstreams.getAll()].filter((upstream) =>
      routes?.getService(upstream.published.service)?.canFetch
    );
  }

  private createGossip(): Promise<Gossip> {
    return Gossip.create({
      logger: this.logger,
      address: this.settings.gossipAddress,
      hall: this.settings.hall,
      getSeeds: () => this.settings.seedAddresses,
      describeSelf: () => this.describeSelf(),
      takeFacts: () => this.prefixes.takeFacts(),
      hasFacts: () => this.prefixes.hasUntold,
      onFacts: (facts) => this.prefixes.learn(facts, performance.now()),
      onEntry: (entry, heardAt, askedAt) =>
        this.takeEntry(entry, heardAt, askedAt),
    });
  }

  private createWatcher(): FeedWatcher {
    return FeedWatcher.create({
      feed: this.parts.feed,
      keeper: this.keeper,
      logger: this.logger,
      watchMs: WATCH_MS,
      retryMs: RETRY_MS,
      idleCheckMs: IDLE_CHECK_MS,
      isNeeded: () => this.isWatcher(),
      onReachable: (isReachable, outageMs) => {
        if (isReachable && outageMs >= LAPSE_OUTAGE_MS) {
          this.regainedAt = performance.now();
        }
      },
    });
  }

  private async openEndpoints(): Promise<void> {
    const { settings } = this;
    const { surface } = this.parts;
    const handlersByAddress: Record<string, EndpointHandlers> = {
      [settings.readinessAddress]: {
        [`GET ${surface.readinessPath}`]: (_request, response) =>
          response.writeHead(this.isReady ? 200 : 503).end(),
      },
      [settings.locateAddress]: {
        [`GET ${surface.locatePath}`]: (_request, response) =>
          this.answerLocate(response),
      },
      [settings.peerAddress]: {
        [`GET ${PUBLICATION_PATH}`]: (_request, response, query) =>
          this.exchange.answer(response, query),
        [`GET ${PREFIXES_PATH}`]: (_request, response) =>
          this.prefixExchange.answer(response),
      },
      [settings.metricsAddress]: {
        "GET /metrics": (_request, response) =>
          void this.metrics.getText(this.keeper.ageMs).then((text) =>
            response.end(text)
          ),
      },
    };
    const opening = Object.entries(handlersByAddress).map((
      [address, handlers],
    ) => HttpEndpoint.create(address, handlers));
    this.endpoints.push(...await Promise.all(opening));
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
      isLeaving: () => this.closesConnections,
      onFirstSend: (service) =>
        this.getRetryShare(service).noteRequest(performance.now()),
      run: {
        choose: (call, tried) => this.choose(call, tried),
        canChoose: (call, tried) => this.choose(call, tried) !== undefined,
        findFetchSource: (call, target) => this.findFetchSource(call, target),
        getLoad: (upstream) => this.loads.getTotal(upstream),
        spendRetry: (service) =>
          this.getRetryShare(service).spend(performance.now()),
        noteHealth: (upstream, sign) => {
          this.metrics.noteAttempt(sign);
          const ejectedMs = upstream.health.note(sign, performance.now());
          if (ejectedMs === 0) return;
          this.logger.warn(
            { upstream: upstream.id, sign, ejectedMs },
            "upstream_ejected",
          );
        },
        noteMoved: (upstream) => this.upstreams.drop(upstream),
      },
    });
  }

  private choose(
    call: RoutedCall,
    tried: ReadonlySet<string>,
  ): Upstream | undefined {
    return chooseUpstream({
      candidates: this.getCandidates(call.service),
      boundMultiple: this.settings.boundMultiple,
      tried,
      isCautious: !mayRunAgain(call),
      sharedParts: call.sharedParts,
      prefixes: this.prefixes,
      loads: this.loads,
      hall: this.settings.hall,
      random: this.random,
      now: performance.now(),
    });
  }

  /** Upstreams of a service that may get a request, but for those on which this host uses up its share of connections. */
  private getCandidates(service: string): Upstream[] {
    const serving = this.upstreams.getServing(service);
    const most = this.keeper.routes?.getService(service)?.maxConnections;
    if (most === undefined) return serving;
    const share = Math.max(1, most / (1 + this.getLiveHosts().length));
    return serving.filter((upstream) => upstream.ownRequests < share);
  }

  private findFetchSource(
    call: RoutedCall,
    target: Upstream,
  ): string | undefined {
    const { sharedParts, service } = call;
    if (sharedParts.length === 0) return undefined;
    const now = performance.now();
    const engines = this.upstreams.getPresent(service).filter((engine) =>
      engine.health.isWithinReach(now)
    );
    const source = this.keeper.routes?.getService(service)?.canFetch
      ? findFetchSource(sharedParts, target, engines, this.prefixes, now)
      : undefined;
    const isFetched = source !== undefined;
    this.prefixes.noteSent(sharedParts, target.key, isFetched, now);
    if (this.prefixes.hasUntold) this.gossip?.announce();
    return source?.published.address;
  }

  private get mayHonourKeys(): boolean {
    const { keyBeliefMs } = this.settings;
    if (keyBeliefMs === undefined) return true;
    return this.keeper.ageMs < keyBeliefMs * KEY_BELIEF_PART;
  }

  private get isReady(): boolean {
    return this.keeper.routes !== undefined &&
      this.drainingSince === undefined;
  }

  private get closesConnections(): boolean {
    return this.drainingSince !== undefined &&
      performance.now() - this.drainingSince > CLOSE_CONNECTIONS_AFTER_MS;
  }

  private applyConfiguration(routes: RouteTable): void {
    this.server?.applyLimits(routes.limits);
    this.handler.applyRoutes(routes);
    this.resolveFirstRoutes();
    this.gossip?.announce();
  }

  private getRetryShare(service: string): RetryShare {
    const known = this.retries.get(service);
    if (known) return known;
    const share = RetryShare.create({
      ratio: this.settings.retryRatio,
      extra: this.settings.retryExtra,
      windowMs: this.settings.retryWindowMs,
      countHosts: () => 1 + this.getLiveHosts().length,
    });
    this.retries.set(service, share);
    return share;
  }

  private getLiveHosts() {
    return this.gossip?.hosts.getLive(performance.now()) ?? [];
  }

  private isWatcher(): boolean {
    if (this.keeper.ageMs > SELF_WATCH_AGE_MS) return true;
    const live = this.getLiveHosts().filter((host) =>
      host.entry.phase !== "draining"
    ).map((host) => host.entry.id);
    const ranked = rankByRendezvous("watcher", [...live, this.settings.id]);
    return ranked.indexOf(this.settings.id) < WATCHERS;
  }

  private describeSelf(): Omit<PeerEntry, "incarnation" | "sequence"> {
    const { settings, keeper } = this;
    const ageMs = keeper.ageMs;
    const isServing = this.isReady && this.mayHonourKeys;
    return {
      id: settings.id,
      gossipAddress: settings.gossipAddress,
      peerAddress: settings.peerAddress,
      callerAddress: settings.callerAddress,
      hall: settings.hall,
      phase: this.drainingSince !== undefined
        ? "draining"
        : isServing
        ? "ready"
        : "starting",
      digest: keeper.digest,
      revision: keeper.revision,
      publicationAgeMs: Number.isFinite(ageMs) ? ageMs : -1,
      loads: this.loads.getOwn(this.upstreams.getAll()),
    };
  }

  private takeEntry(entry: PeerEntry, heardAt: number, askedAt?: number): void {
    this.loads.record(entry.id, entry.loads, heardAt);
    if (askedAt === undefined || entry.publicationAgeMs < 0) return;
    if (entry.digest === this.keeper.digest) {
      const moment = askedAt - entry.publicationAgeMs;
      this.keeper.takeConfirmation(entry.digest, moment);
      return;
    }
    const isFresher = entry.publicationAgeMs < this.keeper.ageMs ||
      entry.revision > this.keeper.revision;
    if (isFresher) void this.exchange.ask(entry.id, entry.peerAddress);
  }

  private answerLocate(
    response: ServerResponse,
  ): void {
    const addresses = chooseAddresses({
      own: {
        callerAddress: this.settings.callerAddress,
        isReady: this.isReady && this.mayHonourKeys,
      },
      live: this.getLiveHosts(),
    });
    if (addresses.length === 0) {
      response.writeHead(503).end();
      return;
    }
    const lifetimeMs = Math.min(
      LOCATE_LIFETIME_MS,
      this.settings.locateLifetimeLimitMs,
    );
    response.writeHead(200, { "content-type": "application/json" });
    response.end(this.parts.surface.writeAddresses(addresses, lifetimeMs));
  }
}
