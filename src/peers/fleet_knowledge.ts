import { FleetGrowth } from "./fleet_growth.ts";
import { FleetSize } from "./fleet_size.ts";
import type { HostTable } from "./host_table.ts";

/** Dependencies of {@link FleetKnowledge}. */
export interface FleetKnowledgeOptions {
  /** The other known hosts. */
  hosts: HostTable;
  /** Gossip address of this host. */
  address: string;
  /** Returns the gossip addresses of the seed hosts. */
  getSeeds: () => readonly string[];
}

/** What a host knows of the size of its fleet, which limits of the whole fleet depend on. */
export class FleetKnowledge {
  private readonly growth: FleetGrowth;
  private readonly knownSize = FleetSize.create();

  private constructor(private readonly options: FleetKnowledgeOptions) {
    this.growth = FleetGrowth.create(() => !this.hasNoOtherSeed);
  }

  /** Creates knowledge of a fleet that has not been discovered.
   * @param options Its dependencies. */
  static create(options: FleetKnowledgeOptions): FleetKnowledge {
    return new FleetKnowledge(options);
  }

  /** Number of hosts among which limits of the fleet are divided, including this one and those that were lost lately;
   * undefined if this host has never known all of them. */
  get size(): number | undefined {
    return this.knownSize.get(this.knownHosts);
  }

  /** Records the hosts that are known now.
   * @param now Monotonic milliseconds. */
  record(now: number): void {
    this.growth.record(this.options.hosts.size, now);
    const isAlone = this.options.hosts.size === 0 && this.hasNoOtherSeed;
    if (isAlone || (this.isDiscovered(now) && this.knowsSeeds)) {
      this.knownSize.recordComplete(this.knownHosts);
    }
  }

  /** Whether the known hosts are likely all hosts of the fleet, or of this host's partition.
   * @param now Monotonic milliseconds. */
  isDiscovered(now: number): boolean {
    return this.growth.isSettled(this.options.hosts.size, now);
  }

  /** Returns the part of the known hosts, including this one, that has not been lost within a time.
   * @param withinMs The time, in milliseconds.
   * @param now Monotonic milliseconds. */
  getRetainedFraction(withinMs: number, now: number): number {
    const lost = this.options.hosts.countLostSince(now - withinMs, now);
    return 1 - lost / this.knownHosts;
  }

  private get knownHosts(): number {
    return 1 + this.options.hosts.size;
  }

  /** Whether the settings name no other host as a seed. */
  private get hasNoOtherSeed(): boolean {
    const { address, getSeeds } = this.options;
    return getSeeds().every((seed) => seed === address);
  }

  /** Whether all seeds are known. If not, the known hosts may be one of several partitions; at most one of these contains
   * all seeds. */
  private get knowsSeeds(): boolean {
    const { address, getSeeds, hosts } = this.options;
    return getSeeds().every((seed) =>
      seed === address || hosts.getHost(seed) !== undefined
    );
  }
}
