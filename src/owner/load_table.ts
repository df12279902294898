import { hashText } from "../hashing/hasher.ts";

/** Maximum age of an advertised load that is used for means and for choosing upstreams. The bound allows a mean to be
 * up to two seconds old when it takes effect. On a busy machine a report may be read, and a request may reach its
 * engine, some hundred milliseconds late each; this limit leaves time for both. */
const MAX_LOAD_AGE_MS = 1_000;

/** Maximum age of an advertised load that is used to estimate what a failed owner may have left running. */
export const MAX_FORMER_OWNER_LOAD_AGE_MS = 10_000;

/** Number of upstreams whose loads are enough for a mean. If fewer are known, upstreams of the pool with unknown load
 * count as idle. */
const MIN_SAMPLE_SIZE = 32;

/** Load value that marks an upstream as unreachable. */
export const UNREACHABLE_LOAD = -1;

/** Mean loads of a pool of upstreams. */
export interface PoolMeans {
  /** Mean over the reachable upstreams. */
  reachable: number;
  /** Mean over all upstreams, counting unreachable ones as idle. */
  all: number;
}

interface Entry {
  load: number;
  receivedAt: number;
}

/** The loads of upstreams as last advertised by the routers that own them. */
export class LoadTable {
  private readonly entries = new Map<number, Entry>();

  private constructor() {}

  /** Creates an empty instance. */
  static create(): LoadTable {
    return new LoadTable();
  }

  /** Records advertised loads.
   * @param loads Pairs of the hash of an upstream's id and its requests in flight.
   * @param now Monotonic time in milliseconds. */
  record(loads: readonly [number, number][], now: number): void {
    for (const [id, load] of loads) {
      this.entries.set(id, { load, receivedAt: now });
    }
  }

  /** Returns the load of an upstream, or undefined if none was recorded within the maximum age.
   * @param upstreamId The upstream.
   * @param now Monotonic time in milliseconds.
   * @param maxAgeMs Maximum age of the load. */
  getLoad(
    upstreamId: string,
    now: number,
    maxAgeMs = MAX_LOAD_AGE_MS,
  ): number | undefined {
    const entry = this.entries.get(hashText(upstreamId));
    return entry && now - entry.receivedAt <= maxAgeMs ? entry.load : undefined;
  }

  /** Computes the mean loads of a pool over the upstreams whose load is known, which in a large pool are a sample.
   * If they are too few for a sample, upstreams with unknown load count as idle.
   * @param upstreamIds Ids of the upstreams of the pool.
   * @param now Monotonic time in milliseconds. */
  getMeans(upstreamIds: readonly string[], now: number): PoolMeans {
    let sum = 0;
    let known = 0;
    let unreachable = 0;
    for (const id of upstreamIds) {
      const load = this.getLoad(id, now);
      if (load === undefined) continue;
      if (load === UNREACHABLE_LOAD) {
        unreachable += 1;
        continue;
      }
      sum += load;
      known += 1;
    }
    const count = Math.max(
      known,
      Math.min(upstreamIds.length - unreachable, MIN_SAMPLE_SIZE),
    );
    return {
      reachable: sum / Math.max(1, count),
      all: sum / Math.max(1, count + unreachable),
    };
  }
}
