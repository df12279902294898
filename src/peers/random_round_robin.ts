import type { Random } from "../random/random.ts";
import type { KnownHost } from "./known_host.ts";

/** Visits hosts in a random order, each once before any is visited again. */
export class VisitOrder {
  private left: string[] = [];

  private constructor(private readonly random: Random) {}

  /** Creates an order that begins anew.
   * @param random Source of the order. */
  static create(random: Random): VisitOrder {
    return new VisitOrder(random);
  }

  /** Takes the gossip addresses of the hosts to visit next.
   * @param hosts The hosts that may be visited now.
   * @param count Most addresses. */
  take(hosts: readonly KnownHost[], count: number): string[] {
    const addresses = new Set(hosts.map(({ entry }) => entry.gossipAddress));
    const taken = new Set<string>();
    const most = Math.min(count, addresses.size);
    while (taken.size < most) {
      if (this.left.length === 0) {
        this.left = this.random.shuffle([...addresses]);
      }
      const next = this.left.pop()!;
      if (addresses.has(next)) taken.add(next);
    }
    return [...taken];
  }
}
