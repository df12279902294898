import { hashText } from "../hashing/hasher.ts";
import type {
  CallerLimits,
  PublishedConfiguration,
  Route,
  Service,
} from "./configuration_schema.ts";

/** The customer that owns an API key. */
export interface ApiKeyOwner {
  name: string;
  /** 0 is the highest priority. */
  priority: number;
}

/** One version of the configuration, indexed for lookups of routes and API keys. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly routesByName = new Map<string, Route>();
  private readonly customersByKey = new Map<string, ApiKeyOwner>();
  private readonly services = new Map<string, Service>();

  private constructor(private readonly configuration: PublishedConfiguration) {
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.routesByHost.get(host) ?? [];
      routes.push(route);
      this.routesByHost.set(host, routes);
      this.routesByName.set(route.name, route);
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const service of configuration.services) {
      this.services.set(service.name, service);
    }
    for (const { name, keys, priority } of configuration.customers ?? []) {
      for (const key of keys) this.customersByKey.set(key, { name, priority });
    }
  }

  /** Creates the route table of a configuration. */
  static create(configuration: PublishedConfiguration): RouteTable {
    return new RouteTable(configuration);
  }

  get version(): number {
    return this.configuration.version;
  }

  /** Size limits and timeouts of callers' requests. */
  get limits(): CallerLimits {
    return this.configuration.limits;
  }

  /** Whether routes that are not anonymous require an API key. */
  get requiresKeys(): boolean {
    return this.configuration.customers !== undefined;
  }

  /** Returns the route of a host with the longest prefix that matches a path, or undefined.
   * @param host Value of the request's Host header, with or without a port.
   * @param path Path of the request, with or without a query. */
  getRoute(host: string, path: string): Route | undefined {
    const hostname = host.toLowerCase().replace(/:\d+$/, "");
    const pathWithoutQuery = path.split("?", 1)[0]!;
    return this.routesByHost.get(hostname)?.find((route) =>
      pathWithoutQuery.startsWith(route.pathPrefix)
    );
  }

  /** Returns the route with the given name, or undefined. */
  getRouteByName(name: string): Route | undefined {
    return this.routesByName.get(name);
  }

  /** Returns the service with the given name, or undefined. */
  getService(name: string): Service | undefined {
    return this.services.get(name);
  }

  /** Returns the customer that owns an API key, or undefined. */
  getApiKeyOwner(key: string): ApiKeyOwner | undefined {
    return this.customersByKey.get(key);
  }
}

/** Chooses the service of a request by the weights of its route. The same key always maps to the same service.
 * @param route The route.
 * @param key Key that the requests of a chat share, if there is one; otherwise the request's id. */
export function chooseService(route: Route, key: string): string {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
  const first = route.shares[0]!.service;
  if (route.shares.length === 1 || total <= 0) return first;
  let point = hashText(key, hashText(route.name)) / 2 ** 32 * total;
  for (const { service, weight } of route.shares) {
    point -= weight;
    if (point < 0) return service;
  }
  return first;
}
