import { hashText } from "../hashing/hasher.ts";

/** Age up to which a told load is used for the mean and for choices, in milliseconds. A report may be read late and a
 * request may reach its engine late, on a busy machine by some hundred milliseconds each; with these the mean that was
 * acted on is still no older than the two seconds for which the bound allows it. */
const FRESH_MS = 1_000;

/** Age up to which a told load says what a lost owner may have left running. */
export const REMEMBERED_MS = 10_000;

/** Upstreams whose loads give a mean; where fewer are known, those of the pool that are not count as idle. */
const SAMPLE_SIZE = 32;

/** Load number that says an upstream cannot be reached. */
export const UNREACHABLE_LOAD = -1;

/** Mean loads of a pool. */
export interface PoolMeans {
  /** Over the upstreams in reach. */
  reachable: number;
  /** Over all, of which those out of reach carry nothing. */
  all: number;
}

interface Entry {
  load: number;
  heardAt: number;
}

/** The loads of upstreams, as the routers that own them last told. */
export class LoadBook {
  private readonly entries = new Map<number, Entry>();

  private constructor() {}

  /** Creates an empty book. */
  static create(): LoadBook {
    return new LoadBook();
  }

  /** Takes over loads told by a peer.
   * @param loads Hash of an upstream's id, and its requests in flight.
   * @param now Monotonic milliseconds. */
  record(loads: readonly [number, number][], now: number): void {
    for (const [id, load] of loads) {
      this.entries.set(id, { load, heardAt: now });
    }
  }

  /** Returns an upstream's load, or nothing where none was told lately.
   * @param upstreamId The upstream.
   * @param now Monotonic milliseconds.
   * @param maxAgeMs Age up to which it is used. */
  getLoad(
    upstreamId: string,
    now: number,
    maxAgeMs = FRESH_MS,
  ): number | undefined {
    const entry = this.entries.get(hashText(upstreamId));
    return entry && now - entry.heardAt <= maxAgeMs ? entry.load : undefined;
  }

  /** Mean loads of a pool, over the upstreams whose load is known; in a large pool these are a sample.
   * Where they are too few for a sample the others count as idle.
   * @param upstreamIds The pool.
   * @param now Monotonic milliseconds. */
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
      Math.min(upstreamIds.length - unreachable, SAMPLE_SIZE),
    );
    return {
      reachable: sum / Math.max(1, count),
      all: sum / Math.max(1, count + unreachable),
    };
  }
}
