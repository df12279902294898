import type { Host } from "../configuration_service/host_schema.ts";

/** A listed router and its current status. */
export interface RouterView {
  host: Host;
  /** Whether its status is alive; always true for this router itself. */
  heard: boolean;
  /** Whether its status is dead: it was silent for so long that connections to it are closed. */
  dead: boolean;
  /** Whether callers and work should go to other routers, because the router itself or the host list says so. */
  unavailable: boolean;
}

/** An immutable snapshot of all listed routers and upstreams, replaced on every change. */
export class FleetView {
  private readonly routersById: ReadonlyMap<string, RouterView>;
  private readonly upstreamsById: ReadonlyMap<string, Host>;

  private constructor(
    /** Id of the router that owns the view. */
    readonly ownId: string,
    /** Version of the host list that the view was built from; 0 before the first list was read. */
    readonly version: number,
    /** All listed routers, including this one. */
    readonly routers: readonly RouterView[],
    /** All listed upstreams, including those that are leaving. */
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
   * @param ownId Id of the router that owns it.
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

  /** Returns a router, or undefined if it is not listed.
   * @param id The router's id. */
  getRouter(id: string): RouterView | undefined {
    return this.routersById.get(id);
  }

  /** Returns an upstream, or undefined if it is not listed.
   * @param id The upstream's id. */
  getUpstream(id: string): Host | undefined {
    return this.upstreamsById.get(id);
  }

  /** Whether a router other than this one takes requests. */
  get hasOtherRouter(): boolean {
    return this.routers.some(({ host, heard, unavailable }) =>
      host.id !== this.ownId && heard && !unavailable
    );
  }

  /** Fraction of the listed routers whose status is alive, including this one; 1 if none is listed. */
  get reachableFraction(): number {
    if (this.routers.length === 0) return 1;
    return this.routers.filter((router) => router.heard).length /
      this.routers.length;
  }
}
