import { rankByRendezvous } from "../hashing/rendezvous.ts";

/** Interval at which the hosts are read, in milliseconds: two gossip rounds. */
const HOSTS_INTERVAL_MS = 400;
/** Time after the last use after which a distribution is forgotten, in milliseconds. */
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
  /** Monotonic milliseconds at which it was last used. */
  usedAt: number;
}

/** The hosts among which slots are distributed. */
interface KnownHosts {
  otherIds: readonly string[];
  isFleet: boolean;
  /** Monotonic milliseconds. */
  readAt: number;
}

/** Distributes numbers of slots among the hosts of the fleet. Each slot belongs to the host of its rank in the rendezvous
 * order of all hosts for a key, so hosts need no messages to agree, and hosts with different views of the fleet share
 * few slots. A host that has not discovered the fleet yet owns none. */
export class FleetSlots {
  /** Distributions among the present hosts, by key. */
  private readonly cached = new Map<string, SlotDistribution>();
  private hosts: KnownHosts = {
    otherIds: [],
    isFleet: false,
    readAt: -Infinity,
  };

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
    this.readHosts(now);
    let distribution = this.cached.get(key);
    if (distribution?.total !== total) {
      distribution = this.distribute(key, total, now);
      this.cached.set(key, distribution);
    }
    distribution.usedAt = now;
    return distribution;
  }

  /** Reads the hosts if that was not done lately; all distributions are computed again if they have changed. */
  private readHosts(now: number): void {
    if (now - this.hosts.readAt < HOSTS_INTERVAL_MS) return;
    const otherIds = this.options.getOtherHostIds();
    const isFleet = this.options.knowsFleet();
    const isUnchanged = isFleet === this.hosts.isFleet &&
      otherIds.length === this.hosts.otherIds.length &&
      otherIds.every((id, index) => id === this.hosts.otherIds[index]);
    this.hosts = { otherIds, isFleet, readAt: now };
    if (isUnchanged) this.removeUnused(now);
    else this.cached.clear();
  }

  private distribute(
    key: string,
    total: number,
    now: number,
  ): SlotDistribution {
    const { hostId } = this.options;
    const { otherIds, isFleet } = this.hosts;
    const ranked = rankByRendezvous(key, [hostId, ...otherIds]);
    const rank = ranked.indexOf(hostId);
    const share = Math.max(0, Math.ceil((total - rank) / ranked.length));
    return {
      total,
      own: isFleet ? share : 0,
      otherOwners: ranked.slice(0, total).filter((id) => id !== hostId),
      usedAt: now,
    };
  }

  private removeUnused(now: number): void {
    for (const [key, { usedAt }] of this.cached) {
      if (now - usedAt > CACHE_RETENTION_MS) this.cached.delete(key);
    }
  }
}
