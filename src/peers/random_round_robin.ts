import type { Random } from "../random/random.ts";
import type { KnownHost } from "./known_host.ts";

/** Randomized round-robin selection: visits hosts in random order, each once before any is visited again. */
export class RandomRoundRobin {
  private remaining: string[] = [];

  private constructor(private readonly random: Random) {}

  /** Creates a selection.
   * @param random Random source. */
  static create(random: Random): RandomRoundRobin {
    return new RandomRoundRobin(random);
  }

  /** Returns the gossip addresses of the next hosts to visit.
   * @param hosts The current candidates.
   * @param count Maximum number of addresses. */
  take(hosts: readonly KnownHost[], count: number): string[] {
    const addresses = new Set(hosts.map(({ entry }) => entry.gossipAddress));
    const taken = new Set<string>();
    const limit = Math.min(count, addresses.size);
    while (taken.size < limit) {
      if (this.remaining.length === 0) {
        this.remaining = this.random.shuffle([...addresses]);
      }
      const next = this.remaining.pop()!;
      if (addresses.has(next)) taken.add(next);
    }
    return [...taken];
  }
}
