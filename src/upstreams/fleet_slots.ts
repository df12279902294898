import { rankByRendezvous } from "../hashing/rendezvous.ts";

/** Time for which the number of own slots is cached, in milliseconds: two gossip rounds. */
const CACHE_TTL_MS = 400;
/** Time after which a cached number is removed, in milliseconds. */
const CACHE_RETENTION_MS = 10_000;

/** Dependencies of {@link FleetSlots}. */
export interface FleetSlotsOptions {
  hostId: string;
  /** Returns the ids of all other known hosts, including those that are unreachable from here: they may still send. */
  getOtherHostIds: () => readonly string[];
  /** Whether the known hosts are likely the whole fleet. */
  knowsFleet: () => boolean;
}

/** How the slots of a key are distributed. */
interface SlotDistribution {
  total: number;
  /** Number of own slots. */
  own: number;
  /** Ids of the other hosts that own any. */
  otherOwners: readonly string[];
  /** Monotonic milliseconds. */
  computedAt: number;
}

/** Distributes numbers of slots among the hosts of the fleet. Each slot belongs to the host of its rank in the rendezvous
 * order of all hosts for a key, so hosts need no messages to agree, and hosts with different views of the fleet share
 * few slots. A host that has not discovered the fleet yet owns none. */
export class FleetSlots {
  /** Distribution by key. */
  private readonly cached = new Map<string, SlotDistribution>();

  private constructor(private readonly options: FleetSlotsOptions) {}

  /** Creates a distribution.
   * @param options Its dependencies. */
  static create(options: FleetSlotsOptions): FleetSlots {
    return new FleetSlots(options);
  }

  /** Returns the number of slots that belong to this host.
   * @param key Key of the slots; different keys are distributed independently.
   * @param total Number of slots that the fleet shares.
   * @param now Monotonic milliseconds. */
  countOwn(key: string, total: number, now: number): number {
    return this.getDistribution(key, total, now).own;
  }

  /** Returns the ids of the other hosts to which slots belong, as far as this host knows the fleet.
   * @param key Key of the slots.
   * @param total Number of slots that the fleet shares.
   * @param now Monotonic milliseconds. */
  getOtherOwners(key: string, total: number, now: number): readonly string[] {
    return this.getDistribution(key, total, now).otherOwners;
  }

  private getDistribution(
    key: string,
    total: number,
    now: number,
  ): SlotDistribution {
    const known = this.cached.get(key);
    const isCurrent = known?.total === total &&
      now - known.computedAt < CACHE_TTL_MS;
    if (known && isCurrent) return known;
    const distribution = this.distribute(key, total, now);
    this.cached.set(key, distribution);
    this.removeExpired(now);
    return distribution;
  }

  private distribute(
    key: string,
    total: number,
    now: number,
  ): SlotDistribution {
    const { hostId, getOtherHostIds, knowsFleet } = this.options;
    const ranked = rankByRendezvous(key, [hostId, ...getOtherHostIds()]);
    const rank = ranked.indexOf(hostId);
    const share = Math.max(0, Math.ceil((total - rank) / ranked.length));
    return {
      total,
      own: knowsFleet() ? share : 0,
      otherOwners: ranked.slice(0, total).filter((id) => id !== hostId),
      computedAt: now,
    };
  }

  private removeExpired(now: number): void {
    for (const [key, { computedAt }] of this.cached) {
      if (now - computedAt > CACHE_RETENTION_MS) this.cached.delete(key);
    }
  }
}
