import type { Host } from "../configuration_service/host_schema.ts";

/** A router as it is seen now. */
export interface RouterView {
  host: Host;
  /** Whether it answers probes. */
  heard: boolean;
  /** Whether it has been silent for so long that connections to it are given up. */
  lost: boolean;
  /** Whether callers and work should go elsewhere, by its own word or the list's. */
  unavailable: boolean;
}

/** An immutable picture of routers and upstreams, replaced whenever something changes. */
export class FleetView {
  private readonly routersById: ReadonlyMap<string, RouterView>;
  private readonly upstreamsById: ReadonlyMap<string, Host>;

  private constructor(
    /** Id of the router that holds the view. */
    readonly ownId: string,
    /** Version of the host list behind the view; 0 before any was read. */
    readonly version: number,
    /** All listed routers, this one included. */
    readonly routers: readonly RouterView[],
    /** All listed upstreams, leaving ones included. */
    readonly upstreams: readonly Host[],
  ) {
    this.routersById = new Map(
      routers.map((router) => [router.host.id, router]),
    );
    this.upstreamsById = new Map(
      upstreams.map((upstream) => [upstream.id, upstream]),
    );
  }

  /** Creates a view.
   * @param ownId Id of the router that holds it.
   * @param version Version of the host list.
   * @param routers All listed routers.
   * @param upstreams All listed upstreams. */
  static create(
    ownId: string,
    version: number,
    routers: readonly RouterView[],
    upstreams: readonly Host[],
  ): FleetView {
    return new FleetView(ownId, version, routers, upstreams);
  }

  /** Returns a router, or nothing where it is not listed.
   * @param id The router's id. */
  getRouter(id: string): RouterView | undefined {
    return this.routersById.get(id);
  }

  /** Returns an upstream, or nothing where it is not listed.
   * @param id The upstream's id. */
  getUpstream(id: string): Host | undefined {
    return this.upstreamsById.get(id);
  }

  /** Part of the listed routers that this one hears, itself included; between 0 and 1. */
  get heardShare(): number {
    if (this.routers.length === 0) return 1;
    return this.routers.filter((router) => router.heard).length /
      this.routers.length;
  }
}
