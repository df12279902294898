import type { ServerResponse } from "node:http";
import type { KnownHost } from "../peers/known_host.ts";
import type { ServiceContact } from "../upstreams/service_contact.ts";
import type { DiscoveryProtocol } from "./discovery_protocol.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { type HostExchange, HOSTS_PATH } from "./host_exchange.ts";
import { type EndpointHandlers, HttpEndpoint } from "./http_endpoint.ts";
import { RELAY_PATH } from "../paths/relay_protocol.ts";
import type { RelayServer } from "../paths/relay_server.ts";
import { chooseAddresses } from "./choose_addresses.ts";
import type { PeerExchanges } from "./peer_exchanges.ts";
import { PREFIXES_PATH } from "./prefix_exchange.ts";
import { PUBLICATION_PATH } from "./publication_exchange.ts";
import { START_KNOWLEDGE_PATH } from "./start_knowledge_exchange.ts";

/** Path of the metrics, as Prometheus scrapes them. */
const METRICS_PATH = "/metrics";
/** Time for which callers may cache an address list. A lost host stays in cached lists for about as long again as its
 * failure detection takes. Half of it would double the look-ups and serve callers no better. */
const LOCATE_TTL_MS = 500;

/** Dependencies of the {@link GatewayEndpoints}. */
export interface GatewayEndpointsOptions {
  /** Returns the current settings; the addresses to listen on are read once. */
  getSettings: () => GatewaySettings;
  discoveryProtocol: DiscoveryProtocol;
  metrics: GatewayMetrics;
  exchanges: PeerExchanges;
  /** Returns the exchange of known hosts; undefined until the communication with other hosts has started. */
  getHostExchange: () => HostExchange | undefined;
  /** Whether the host has a configuration and is not stopping. */
  isReady: () => boolean;
  /** Whether callers should send requests to this host. */
  isServing: () => boolean;
  /** Returns the other live hosts. */
  getLiveHosts: () => readonly KnownHost[];
  /** Age of the known publication in milliseconds. */
  getPublicationAgeMs: () => number;
  /** Relays connections to upstreams for other hosts. */
  relayServer: RelayServer;
  /** Returns how many upstreams of each service this host hears. */
  getServiceContacts: () => Iterable<ServiceContact>;
  /** Returns the number of upstreams that are paced after a start or a recovery, by service. */
  countPaced: () => Iterable<[service: string, count: number]>;
}

/** The HTTP endpoints of a gateway other than the one for callers' requests: readiness, address look-up, peers and
 * metrics. */
export class GatewayEndpoints {
  private constructor(
    private readonly options: GatewayEndpointsOptions,
    private readonly endpoints: HttpEndpoint[] = [],
  ) {}

  /** Opens the endpoints.
   * @param options Their dependencies.
   * @throws The system's error if it can't listen on an address. */
  static async create(
    options: GatewayEndpointsOptions,
  ): Promise<GatewayEndpoints> {
    const created = new GatewayEndpoints(options);
    const opening = Object.entries(created.buildHandlers()).map((
      [address, handlers],
    ) => HttpEndpoint.create(address, handlers));
    created.endpoints.push(...await Promise.all(opening));
    return created;
  }

  /** Closes the endpoints and their connections. */
  close(): void {
    for (const endpoint of this.endpoints) endpoint.close();
  }

  private buildHandlers(): Record<string, EndpointHandlers> {
    const settings = this.options.getSettings();
    const { discoveryProtocol, exchanges } = this.options;
    return {
      [settings.readinessAddress]: {
        [`GET ${discoveryProtocol.readinessPath}`]: (_request, response) =>
          response.writeHead(this.options.isReady() ? 200 : 503).end(),
      },
      [settings.locateAddress]: {
        [`GET ${discoveryProtocol.locatePath}`]: (_request, response) =>
          this.respondLocate(response),
      },
      [settings.peerAddress]: {
        [`GET ${PUBLICATION_PATH}`]: (_request, response, query) =>
          exchanges.publication.respond(response, query),
        [`GET ${PREFIXES_PATH}`]: (_request, response) =>
          exchanges.prefixes.respond(response),
        [`GET ${START_KNOWLEDGE_PATH}`]: (_request, response) =>
          exchanges.startKnowledge.respond(response),
        [`GET ${HOSTS_PATH}`]: (_request, response) =>
          this.respondHosts(response),
        [`POST ${RELAY_PATH}`]: (request, response, query) =>
          this.options.relayServer.handle(
            request,
            response,
            Number(query.get("upstream")),
          ),
      },
      [settings.metricsAddress]: {
        [`GET ${METRICS_PATH}`]: (_request, response) =>
          void this.respondMetrics(response),
      },
    };
  }

  private respondLocate(response: ServerResponse): void {
    const { callerAddress, maxLocateTtlMs } = this
      .options.getSettings();
    const addresses = chooseAddresses({
      own: { callerAddress, isReady: this.options.isServing() },
      live: this.options.getLiveHosts(),
    });
    if (addresses.length === 0) {
      response.writeHead(503).end();
      return;
    }
    const ttlMs = Math.min(LOCATE_TTL_MS, maxLocateTtlMs);
    response.writeHead(200, { "content-type": "application/json" });
    response.end(
      this.options.discoveryProtocol.formatAddressList(addresses, ttlMs),
    );
  }

  private respondHosts(response: ServerResponse): void {
    const exchange = this.options.getHostExchange();
    if (exchange) exchange.respond(response);
    else response.writeHead(503).end();
  }

  private async respondMetrics(response: ServerResponse): Promise<void> {
    const { metrics, getPublicationAgeMs, getServiceContacts, countPaced } =
      this.options;
    metrics.recordPaced(countPaced());
    response.end(
      await metrics.getText(getPublicationAgeMs(), getServiceContacts()),
    );
  }
}
