/** Fraction of the advertised load by which an upstream's load may grow before it is advertised again. */
const UNADVERTISED_FRACTION = 0.2;
/** Requests by which the load may grow beyond that fraction. Each advertisement costs a datagram to every reachable
 * peer. */
const UNADVERTISED_STEP = 2;

/** Returns the maximum number of requests that an owner may have started on an upstream without advertising them. A
 * router that takes over from a failed owner counts them as running; otherwise the two together could exceed the load
 * bound.
 * @param advertised Load that the owner last advertised. */
export function getMaximumUnadvertised(advertised: number): number {
  return Math.floor(UNADVERTISED_FRACTION * advertised) + UNADVERTISED_STEP;
}

/** The load of one upstream, as known to its owner. */
export interface OwnedUpstreamLoad {
  upstreamId: string;
  load: number;
}

/** Tracks which loads of a router's upstreams were advertised to peers, and decides when to advertise them again. */
export class AdvertisedLoads {
  private advertised: ReadonlyMap<string, number> = new Map();

  private constructor() {}

  /** Creates an instance for a router that has advertised no load. */
  static create(): AdvertisedLoads {
    return new AdvertisedLoads();
  }

  /** Records the current loads.
   * @param loads Loads of all upstreams of the router.
   * @returns Whether to advertise the loads now; if so, they count as advertised. */
  update(loads: readonly OwnedUpstreamLoad[]): boolean {
    const hasGrown = loads.some((one) => this.hasGrown(one));
    this.advertised = new Map(
      loads.map(({ upstreamId, load }) => {
        const advertised = this.advertised.get(upstreamId) ?? 0;
        return [upstreamId, hasGrown ? load : Math.min(advertised, load)];
      }),
    );
    return hasGrown;
  }

  private hasGrown({ upstreamId, load }: OwnedUpstreamLoad): boolean {
    const advertised = this.advertised.get(upstreamId) ?? 0;
    return load - advertised >= getMaximumUnadvertised(advertised);
  }
}
