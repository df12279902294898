/** Decayed count of a key and when it was last updated. */
interface DecayedCount {
  count: number;
  updatedAt: number;
}

/** Maximum number of counted keys; those that have decayed to nearly nothing are forgotten. */
const MAX_KEYS = 2_000;
/** Count below which a key is forgotten once another one is counted. */
const NEGLIGIBLE_COUNT = 0.01;

/** Counts events by key, weighted less the older they are. */
export class DecayedCounts {
  private readonly counts = new Map<string, DecayedCount>();
  private readonly total: DecayedCount = { count: 0, updatedAt: -Infinity };

  private constructor(private readonly decayTimeMs: number) {}

  /** Creates counts of zero.
   * @param decayTimeMs Time constant of the exponential decay, in milliseconds. */
  static create(decayTimeMs: number): DecayedCounts {
    return new DecayedCounts(decayTimeMs);
  }

  /** Records an event.
   * @param key Its key.
   * @param now Monotonic milliseconds.
   * @param weight Number of events. */
  record(key: string, now: number, weight = 1): void {
    let entry = this.counts.get(key);
    if (!entry) {
      this.forgetNegligible(now);
      if (this.counts.size >= MAX_KEYS) return;
      entry = { count: 0, updatedAt: now };
      this.counts.set(key, entry);
    }
    this.add(entry, now, weight);
    this.add(this.total, now, weight);
  }

  /** Returns the decayed count of a key.
   * @param key The key.
   * @param now Monotonic milliseconds. */
  get(key: string, now: number): number {
    const entry = this.counts.get(key);
    return entry ? this.decay(entry, now) : 0;
  }

  /** Returns the sum of all counts.
   * @param now Monotonic milliseconds. */
  getTotal(now: number): number {
    return this.decay(this.total, now);
  }

  /** Number of keys. */
  get size(): number {
    return this.counts.size;
  }

  private add(entry: DecayedCount, now: number, weight: number): void {
    entry.count = this.decay(entry, now) + weight;
    entry.updatedAt = now;
  }

  private decay({ count, updatedAt }: DecayedCount, now: number): number {
    return count * Math.exp((updatedAt - now) / this.decayTimeMs);
  }

  private forgetNegligible(now: number): void {
    for (const [key, entry] of this.counts) {
      if (this.decay(entry, now) < NEGLIGIBLE_COUNT) this.counts.delete(key);
    }
  }
}
