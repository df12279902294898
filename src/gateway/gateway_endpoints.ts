import type { ServerResponse } from "node:http";
import type { KnownHost } from "../peers/known_host.ts";
import type { CallerSurface } from "./caller_surface.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { type HostExchange, HOSTS_PATH } from "./host_exchange.ts";
import { type EndpointHandlers, HttpEndpoint } from "./http_endpoint.ts";
import { chooseAddresses } from "./choose_addresses.ts";
import { PREFIXES_PATH, type PrefixExchange } from "./prefix_exchange.ts";
import {
  PUBLICATION_PATH,
  type PublicationExchange,
} from "./publication_exchange.ts";

/** Path under which counters and histograms are served, as Prometheus asks for it. */
const METRICS_PATH = "/metrics";
/** Time for which callers may keep an answer with addresses, in milliseconds: a host that is lost is named for about as
 * long again as it takes to be missed. Half of it doubles the questions and served callers no better. */
const LOCATE_TTL_MS = 500;

/** What the endpoints answer from. */
export interface GatewayEndpointsOptions {
  /** The settings in force; the addresses to listen on are read once. */
  getSettings: () => GatewaySettings;
  surface: CallerSurface;
  metrics: GatewayMetrics;
  publicationExchange: PublicationExchange;
  prefixExchange: PrefixExchange;
  /** Tells other hosts all hosts that are known here; undefined until the link to them is open. */
  getHostExchange: () => HostExchange | undefined;
  /** Whether the host is up and not stopping. */
  isReady: () => boolean;
  /** Whether callers should send requests to this host. */
  isServing: () => boolean;
  /** Other hosts that are heard. */
  getLiveHosts: () => readonly KnownHost[];
  /** Age of what is known, in milliseconds. */
  getPublicationAgeMs: () => number;
}

/** The HTTP endpoints of a gateway beside the callers' requests: readiness, addresses, other hosts and metrics. */
export class GatewayEndpoints {
  private constructor(
    private readonly options: GatewayEndpointsOptions,
    private readonly endpoints: HttpEndpoint[] = [],
  ) {}

  /** Opens the endpoints.
   * @param options What they answer from.
   * @throws The system's error where an address can't be listened on. */
  static async create(
    options: GatewayEndpointsOptions,
  ): Promise<GatewayEndpoints> {
    const opened = new GatewayEndpoints(options);
    const opening = Object.entries(opened.buildHandlers()).map((
      [address, handlers],
    ) => HttpEndpoint.create(address, handlers));
    opened.endpoints.push(...await Promise.all(opening));
    return opened;
  }

  /** Closes the endpoints and their connections. */
  close(): void {
    for (const endpoint of this.endpoints) endpoint.close();
  }

  private buildHandlers(): Record<string, EndpointHandlers> {
    const settings = this.options.getSettings();
    const { surface, publicationExchange, prefixExchange } = this.options;
    return {
      [settings.readinessAddress]: {
        [`GET ${surface.readinessPath}`]: (_request, response) =>
          response.writeHead(this.options.isReady() ? 200 : 503).end(),
      },
      [settings.locateAddress]: {
        [`GET ${surface.locatePath}`]: (_request, response) =>
          this.respondLocate(response),
      },
      [settings.peerAddress]: {
        [`GET ${PUBLICATION_PATH}`]: (_request, response, query) =>
          publicationExchange.respond(response, query),
        [`GET ${PREFIXES_PATH}`]: (_request, response) =>
          prefixExchange.respond(response),
        [`GET ${HOSTS_PATH}`]: (_request, response) =>
          this.respondHosts(response),
      },
      [settings.metricsAddress]: {
        [`GET ${METRICS_PATH}`]: (_request, response) =>
          void this.respondMetrics(response),
      },
    };
  }

  private respondLocate(response: ServerResponse): void {
    const { callerAddress, locateLifetimeLimitMs } = this.options.getSettings();
    const addresses = chooseAddresses({
      own: { callerAddress, isReady: this.options.isServing() },
      live: this.options.getLiveHosts(),
    });
    if (addresses.length === 0) {
      response.writeHead(503).end();
      return;
    }
    const lifetimeMs = Math.min(LOCATE_TTL_MS, locateLifetimeLimitMs);
    response.writeHead(200, { "content-type": "application/json" });
    response.end(this.options.surface.writeAddresses(addresses, lifetimeMs));
  }

  private respondHosts(response: ServerResponse): void {
    const exchange = this.options.getHostExchange();
    if (exchange) exchange.respond(response);
    else response.writeHead(503).end();
  }

  private async respondMetrics(response: ServerResponse): Promise<void> {
    const { metrics, getPublicationAgeMs: getAgeMs } = this.options;
    response.end(await metrics.getText(getAgeMs()));
  }
}
