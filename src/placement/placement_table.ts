import { hashText } from "../hashing/hasher.ts";
import { rankByRendezvous } from "../hashing/rendezvous.ts";
import type { FleetView, RouterView } from "../membership/fleet_view.ts";
import type { Host } from "../configuration_service/host_schema.ts";
import { formatPoolName } from "./pool_name.ts";

/** Virtual slots that chats are spread over; a fixed power of two. */
const SLOT_COUNT = 16_384;

/** What a request needs of an upstream. */
export type Requirement = { role: "engine"; model: string } | {
  role: "service";
  service: string;
};

/** Where requests go, worked out from one view of the fleet and kept until the next. */
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
   * @param view The view.
   * @param region Region of this router; its upstreams come before those elsewhere. */
  static create(view: FleetView, region: string): PlacementTable {
    return new PlacementTable(view, region);
  }

  /** Ids of all upstreams of one pool.
   * @param host An upstream of the pool. */
  getPool(host: Host): readonly string[] {
    return this.pools.get(formatPoolName(host)) ?? [];
  }

  /** Upstreams that could serve a request, in the order that belongs to its key.
   * The same key has the same order on every router with the same list.
   * @param need What the request needs.
   * @param key Key of the chat, or the request's id. */
  getCandidates(need: Requirement, key: string): readonly string[] {
    const slot = hashText(key) % SLOT_COUNT;
    const cacheKey = `${formatRequirement(need)}#${slot}`;
    const known = this.candidates.get(cacheKey);
    if (known) return known;
    const hosts = this.getServingHosts(need);
    const inRegion = hosts.filter((host) => host.region === this.region).map((
      host,
    ) => host.id);
    const elsewhere = hosts.filter((host) => host.region !== this.region).map((
      host,
    ) => host.id);
    const order = [
      ...rankByRendezvous(String(slot), inRegion),
      ...rankByRendezvous(String(slot), elsewhere),
    ];
    this.candidates.set(cacheKey, order);
    return order;
  }

  /** Routers that may own an upstream, the present owner first.
   * @param host The upstream. */
  getOwners(host: Host): readonly string[] {
    const known = this.owners.get(host.id);
    if (known) return known;
    const usable = this.view.routers.filter((router) =>
      router.heard && !router.unavailable
    );
    const byId = new Map(usable.map((router) => [router.host.id, router]));
    const ranked = rankByRendezvous(host.id, [...byId.keys()]);
    const order = [0, 1, 2].flatMap((distance) =>
      ranked.filter((id) => distanceBetween(byId.get(id)!, host) === distance)
    );
    this.owners.set(host.id, order);
    return order;
  }

  private getServingHosts(need: Requirement): readonly Host[] {
    const name = formatRequirement(need);
    const known = this.serving.get(name);
    if (known) return known;
    const hosts = this.live.filter((host) => serves(host, need));
    this.serving.set(name, hosts);
    return hosts;
  }
}

function formatRequirement(need: Requirement): string {
  return need.role === "engine"
    ? `engine:${need.model}`
    : `service:${need.service}`;
}

function serves(host: Host, need: Requirement): boolean {
  if (need.role === "engine") {
    return host.role === "engine" && host.models.includes(need.model);
  }
  return host.role === "service" && host.service === need.service;
}

/** 0 within one hall, 1 within one region, 2 beyond. */
function distanceBetween(router: RouterView, host: Host): 0 | 1 | 2 {
  if (router.host.region !== host.region) return 2;
  return router.host.hall === host.hall ? 0 : 1;
}
