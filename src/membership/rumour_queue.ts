/** Times each rumour is passed on, per doubling of the fleet. */
const SPREAD_FACTOR = 3;

/** Members whose rumours are to be passed on, each a number of times that grows with the fleet. */
export class RumourQueue<Name> {
  private readonly spreads = new Map<Name, number>();

  private constructor() {}

  /** Creates an empty queue. */
  static create<Name>(): RumourQueue<Name> {
    return new RumourQueue();
  }

  /** Queues the rumour about a member, or queues it anew.
   * @param name The member. */
  add(name: Name): void {
    this.spreads.set(name, 0);
  }

  /** Takes the members whose rumours go on the next message, those least passed on first.
   * @param limit Most members taken.
   * @param fleetSize Members of the fleet. */
  take(limit: number, fleetSize: number): Name[] {
    if (this.spreads.size === 0) return [];
    const most = SPREAD_FACTOR * Math.ceil(Math.log2(fleetSize + 2));
    const chosen = [...this.spreads.entries()].sort((a, b) => a[1] - b[1])
      .slice(0, limit);
    for (const [name, spread] of chosen) {
      if (spread + 1 >= most) this.spreads.delete(name);
      else this.spreads.set(name, spread + 1);
    }
    return chosen.map(([name]) => name);
  }
}
