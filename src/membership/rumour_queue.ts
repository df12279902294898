/** Transmissions of each rumour, per doubling of the fleet size. */
const RETRANSMIT_FACTOR = 3;

/** Queue of the members whose rumours are to be disseminated. Each rumour is transmitted a number of times that grows
 * with the logarithm of the fleet size. */
export class RumourQueue<Key> {
  /** Transmissions of the queued rumours so far, by the key of the member. */
  private readonly counts = new Map<Key, number>();

  private constructor() {}

  /** Creates an empty queue. */
  static create<Key>(): RumourQueue<Key> {
    return new RumourQueue();
  }

  /** Queues the rumour about a member; if it is queued already, its transmissions are counted from 0 again.
   * @param key Key of the member. */
  add(key: Key): void {
    this.counts.set(key, 0);
  }

  /** Returns the members whose rumours go into the next message, those transmitted least often first, and counts the
   * transmission.
   * @param limit Maximum number of members.
   * @param fleetSize Number of members in the fleet. */
  take(limit: number, fleetSize: number): Key[] {
    if (this.counts.size === 0) return [];
    const maxTransmits = RETRANSMIT_FACTOR *
      Math.ceil(Math.log2(fleetSize + 2));
    const selected = [...this.counts.entries()].sort((a, b) => a[1] - b[1])
      .slice(0, limit);
    for (const [key, count] of selected) {
      if (count + 1 >= maxTransmits) this.counts.delete(key);
      else this.counts.set(key, count + 1);
    }
    return selected.map(([key]) => key);
  }
}
