import { hashText } from "../hashing/hasher.ts";

/** Age above which a reported load is not used. */
const MAX_AGE_MS = 5_000;

/** Load number that says an upstream cannot be reached. */
export const UNREACHABLE_LOAD = -1;

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
   * @param now Monotonic milliseconds. */
  getLoad(upstreamId: string, now: number): number | undefined {
    const entry = this.entries.get(hashText(upstreamId));
    return entry && now - entry.heardAt <= MAX_AGE_MS ? entry.load : undefined;
  }

  /** Mean load of a pool; an upstream whose load is not known counts as idle, one out of reach not at all.
   * @param upstreamIds The pool.
   * @param now Monotonic milliseconds. */
  getMean(upstreamIds: readonly string[], now: number): number {
    let sum = 0;
    let count = 0;
    for (const id of upstreamIds) {
      const load = this.getLoad(id, now) ?? 0;
      if (load === UNREACHABLE_LOAD) continue;
      sum += load;
      count += 1;
    }
    return count === 0 ? 0 : sum / count;
  }
}
