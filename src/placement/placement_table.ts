import { hashText } from "../hashing/hasher.ts";
import { rankByRendezvous } from "../hashing/rendezvous.ts";
import type { FleetView, RouterView } from "../membership/fleet_view.ts";
import type { Host } from "../configuration_service/host_schema.ts";
import { formatPoolName } from "./pool_name.ts";

/** Number of virtual slots that chats are hashed to; a fixed power of two. */
const SLOT_COUNT = 16_384;

/** What a request requires of an upstream. */
export type Requirement = { role: "engine"; model: string } | {
  role: "service";
  service: string;
};

/** Placement of requests and of upstream ownership, computed from one view of the fleet and cached for its lifetime. */
export class PlacementTable {
  private readonly live: readonly Host[];
  private readonly pools = new Map<string, string[]>();
  private readonly serving = new Map<string, Host[]>();
  private readonly candidates = new Map<string, readonly string[]>();
  private readonly owners = new Map<string, readonly string[]>();

  private constructor(
    private readonly view: FleetView,
    private readonly region: string,
  ) {
    this.live = view.upstreams.filter((host) => host.state === "live");
    for (const host of this.live) {
      const pool = formatPoolName(host);
      this.pools.set(pool, [...this.pools.get(pool) ?? [], host.id]);
    }
  }

  /** Creates the table of a view.
   * @param view View of the fleet.
   * @param region Region of this router; its upstreams are ranked before those of other regions. */
  static create(view: FleetView, region: string): PlacementTable {
    return new PlacementTable(view, region);
  }

  /** Returns the ids of all live upstreams in a pool.
   * @param host An upstream of the pool. */
  getPoolMembers(host: Host): readonly string[] {
    return this.pools.get(formatPoolName(host)) ?? [];
  }

  /** Returns the ids of the upstreams that can serve a request, in the order of its key. Every router with the same
   * list of hosts and the same region computes the same order.
   * @param requirement Requirement of the request.
   * @param key Key of the chat, or id of the request. */
  getCandidates(requirement: Requirement, key: string): readonly string[] {
    const slot = hashText(key) % SLOT_COUNT;
    const cacheKey = `${formatRequirement(requirement)}#${slot}`;
    const cached = this.candidates.get(cacheKey);
    if (cached) return cached;
    const hosts = this.getServingHosts(requirement);
    const local = hosts.filter((host) => host.region === this.region).map((
      host,
    ) => host.id);
    const remote = hosts.filter((host) => host.region !== this.region)
      .map((
        host,
      ) => host.id);
    const order = [
      ...rankByRendezvous(String(slot), local),
      ...rankByRendezvous(String(slot), remote),
    ];
    this.candidates.set(cacheKey, order);
    return order;
  }

  /** Returns the ids of the routers that may own an upstream, the current owner first.
   * @param host The upstream. */
  getOwners(host: Host): readonly string[] {
    const cached = this.owners.get(host.id);
    if (cached) return cached;
    const available = this.view.routers.filter((router) =>
      router.heard && !router.unavailable
    );
    const byId = new Map(available.map((router) => [router.host.id, router]));
    const ranked = rankByRendezvous(host.id, [...byId.keys()]);
    const order = [0, 1, 2].flatMap((distance) =>
      ranked.filter((id) => distanceBetween(byId.get(id)!, host) === distance)
    );
    this.owners.set(host.id, order);
    return order;
  }

  private getServingHosts(requirement: Requirement): readonly Host[] {
    const name = formatRequirement(requirement);
    const cached = this.serving.get(name);
    if (cached) return cached;
    const hosts = this.live.filter((host) => serves(host, requirement));
    this.serving.set(name, hosts);
    return hosts;
  }
}

function formatRequirement(requirement: Requirement): string {
  return requirement.role === "engine"
    ? `engine:${requirement.model}`
    : `service:${requirement.service}`;
}

function serves(host: Host, requirement: Requirement): boolean {
  if (requirement.role === "engine") {
    return host.role === "engine" && host.models.includes(requirement.model);
  }
  return host.role === "service" && host.service === requirement.service;
}

/** Returns 0 within one hall, 1 within one region, and 2 otherwise. */
function distanceBetween(router: RouterView, host: Host): 0 | 1 | 2 {
  if (router.host.region !== host.region) return 2;
  return router.host.hall === host.hall ? 0 : 1;
}
