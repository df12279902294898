/** Number of recent events, each of which counts less the older it is. */
export class DecayingCount {
  private value = 0;
  private updatedAt = -Infinity;

  private constructor(private readonly halfLifeMs: number) {}

  /** Creates a count without events.
   * @param halfLifeMs Time after which an event counts half, in milliseconds. */
  static create(halfLifeMs: number): DecayingCount {
    return new DecayingCount(halfLifeMs);
  }

  /** Adds an event.
   * @param now Monotonic milliseconds. */
  add(now: number): void {
    this.value = this.get(now) + 1;
    this.updatedAt = now;
  }

  /** Returns the count.
   * @param now Monotonic milliseconds. */
  get(now: number): number {
    if (this.value === 0) return 0;
    return this.value * 2 ** ((this.updatedAt - now) / this.halfLifeMs);
  }
}
