import type { Timeline } from "../clock/timeline.ts";
import { ConsistentHashRing } from "../hashing/consistent_hash_ring.ts";

/** Time for which the ring is cached before it is rebuilt, in milliseconds: two gossip rounds. */
const RING_CACHE_MS = 400;
/** Time for which the ring is cached on a host that has just started, in milliseconds: it discovers others quickly. */
const STARTING_RING_CACHE_MS = 20;
/** Time from its creation for which a ring counts as that of a host that has just started, in milliseconds. */
const STARTING_MS = 5_000;
/** Number of hosts after a position among which spread hosts are chosen. */
const NEAR_HOSTS = 16;

/** A host on the ring. */
export interface RingHost {
  /** Gossip address. */
  address: string;
  hall: string;
}

/** Dependencies of a {@link HostRing}. */
export interface HostRingOptions {
  /** This host. */
  own: RingHost;
  /** Returns the other hosts on the ring. */
  getHosts: () => readonly RingHost[];
  timeline: Timeline;
}

/** Consistent hash ring of the live hosts. Hosts that know different parts of the fleet agree on most successors of a
 * position, and the loss of a host displaces no other. */
export class HostRing {
  private ring = ConsistentHashRing.create([]);
  private halls = new Map<string, string>();
  private builtAt = -Infinity;
  private readonly createdAt: number;

  private constructor(private readonly options: HostRingOptions) {
    this.createdAt = options.timeline.read();
  }

  /** Creates a ring.
   * @param options Its dependencies. */
  static create(options: HostRingOptions): HostRing {
    return new HostRing(options);
  }

  /** Returns the addresses of the other hosts among those that follow a position.
   * @param position Position as an unsigned 32-bit number.
   * @param count Number of hosts, including this one if it is among them. */
  getSuccessors(position: number, count: number): string[] {
    this.rebuildIfOld();
    return this.withoutOwn(this.ring.getSuccessors(position, count));
  }

  /** Returns the addresses of the other hosts among those that are chosen for a position: the next of each hall, then
   * the next ones of any hall.
   * @param position Position as an unsigned 32-bit number.
   * @param count Number of hosts, including this one if it is among them. */
  getSpreadSuccessors(position: number, count: number): string[] {
    this.rebuildIfOld();
    const near = this.ring.getSuccessors(position, NEAR_HOSTS);
    const nextOfHall = new Map<string | undefined, string>();
    for (const address of near.toReversed()) {
      nextOfHall.set(this.halls.get(address), address);
    }
    const isNextOfHall = (address: string) =>
      nextOfHall.get(this.halls.get(address)) === address;
    const ordered = [
      ...near.filter(isNextOfHall),
      ...near.filter((address) => !isNextOfHall(address)),
    ];
    return this.withoutOwn(ordered.slice(0, count));
  }

  /** Whether this host is the first that follows a position.
   * @param position Position as an unsigned 32-bit number. */
  isFirst(position: number): boolean {
    this.rebuildIfOld();
    return this.ring.getSuccessors(position, 1)[0] === this.options.own.address;
  }

  private withoutOwn(addresses: readonly string[]): string[] {
    return addresses.filter((address) => address !== this.options.own.address);
  }

  private rebuildIfOld(): void {
    const { own, getHosts, timeline } = this.options;
    const now = timeline.read();
    const isStarting = now - this.createdAt < STARTING_MS;
    const cacheMs = isStarting ? STARTING_RING_CACHE_MS : RING_CACHE_MS;
    if (now - this.builtAt <= cacheMs) return;
    const hosts = [...getHosts(), own];
    this.halls = new Map(hosts.map(({ address, hall }) => [address, hall]));
    this.ring = ConsistentHashRing.create([...this.halls.keys()]);
    this.builtAt = now;
  }
}
