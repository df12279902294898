import { hashText } from "../hashing/hasher.ts";
import type {
  CallerLimits,
  PublishedConfiguration,
  Route,
  Service,
} from "./configuration_schema.ts";

/** A customer as a request's key names it. */
export interface KeyHolder {
  name: string;
  /** 0 is the most urgent. */
  priority: number;
}

/** One version of the configuration, indexed for looking up routes and keys. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly routesByName = new Map<string, Route>();
  private readonly holders = new Map<string, KeyHolder>();
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
      for (const key of keys) this.holders.set(key, { name, priority });
    }
  }

  /** Creates the index of a configuration.
   * @param configuration The configuration. */
  static create(configuration: PublishedConfiguration): RouteTable {
    return new RouteTable(configuration);
  }

  /** Version of the configuration. */
  get version(): number {
    return this.configuration.version;
  }

  /** Limits for callers. */
  get limits(): CallerLimits {
    return this.configuration.limits;
  }

  /** Whether routes that are not anonymous need a key. */
  get needsKeys(): boolean {
    return this.configuration.customers !== undefined;
  }

  /** Returns the route with the longest prefix of a path, or nothing.
   * @param host Host that the request names, with or without a port.
   * @param path Path of the request, with or without a query. */
  getRoute(host: string, path: string): Route | undefined {
    const name = host.toLowerCase().replace(/:\d+$/, "");
    const bare = path.split("?", 1)[0]!;
    return this.routesByHost.get(name)?.find((route) =>
      bare.startsWith(route.pathPrefix)
    );
  }

  /** Returns a route by its name, or nothing.
   * @param name Name of the route. */
  getRouteByName(name: string): Route | undefined {
    return this.routesByName.get(name);
  }

  /** Returns a service, or nothing.
   * @param name Name of the service. */
  getService(name: string): Service | undefined {
    return this.services.get(name);
  }

  /** Returns the customer that holds a key, or nothing.
   * @param key The key. */
  getHolder(key: string): KeyHolder | undefined {
    return this.holders.get(key);
  }
}

/** Chooses the service of a request by the weights of its route; the same key gets the same service.
 * @param route The route.
 * @param key What the choice hangs on: a chat's key where there is one, else the request's id. */
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
