/** Part of the told load by which an upstream's load may have grown before peers are told. */
const UNTOLD_PART = 0.2;
/** Requests by which it may have grown beyond that; each telling costs a datagram to every peer in reach. */
const UNTOLD_STEP = 2;

/** Most requests that an owner may have started on an upstream and not told: whoever takes over from a lost owner
 * counts them as running, or the two together put more on the upstream than its bound.
 * @param told Load that the owner last told. */
export function getMostUntold(told: number): number {
  return Math.floor(UNTOLD_PART * told) + UNTOLD_STEP;
}

/** An upstream's load as its owner knows it. */
export interface OwnLoad {
  upstreamId: string;
  load: number;
}

/** What peers were told of the loads of a router's upstreams, to tell them again before one has grown too much. */
export class ToldLoads {
  private told: ReadonlyMap<string, number> = new Map();

  private constructor() {}

  /** Creates one of which nothing was told. */
  static create(): ToldLoads {
    return new ToldLoads();
  }

  /** Takes the loads as they are now.
   * @param loads Loads of all upstreams of the router.
   * @returns Whether peers are to be told of them now; they then count as told. */
  note(loads: readonly OwnLoad[]): boolean {
    const hasGrown = loads.some((one) => this.hasGrown(one));
    this.told = new Map(
      loads.map(({ upstreamId, load }) => {
        const told = this.told.get(upstreamId) ?? 0;
        return [upstreamId, hasGrown ? load : Math.min(told, load)];
      }),
    );
    return hasGrown;
  }

  private hasGrown({ upstreamId, load }: OwnLoad): boolean {
    const told = this.told.get(upstreamId) ?? 0;
    return load - told >= getMostUntold(told);
  }
}
