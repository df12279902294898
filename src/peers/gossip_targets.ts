import type { Random } from "../random/random.ts";
import type { HostTable } from "./host_table.ts";
import type { KnownHost } from "./known_host.ts";
import { VisitOrder } from "./random_round_robin.ts";

/** Hosts of the own hall told each time in a large fleet; in a small one all hosts are told. */
const OWN_HALL_FANOUT = 2;
/** Hosts of other halls told each time in a large fleet; bytes between halls are dear. */
const OTHER_HALLS_FANOUT = 1;
/** Lost hosts tried at a time. In a large fleet many hosts try. */
const MAX_ATTEMPTS = { small: 10, large: 2 } as const;
/** Rounds between two attempts to reach hosts that are lost, and the seeds: 0.8 and 1.2 seconds, in a large fleet with every
 * other telling. */
const ROUNDS_PER_ATTEMPT = { small: 4, large: 6 } as const;
/** Rounds after a start in which lost hosts are tried each time, for all hosts may be starting: two seconds. */
const STARTING_ROUNDS = 10;

/** What the targets are chosen from. */
export interface FleetTargetsOptions {
  hosts: HostTable;
  random: Random;
  /** Gossip address of this host, as ip:port. */
  address: string;
  /** Hall of this host. */
  hall: string;
  /** Gossip addresses of hosts to begin with; read anew each time. */
  getSeeds: () => readonly string[];
}

/** The hosts told in a round. */
export interface RoundTargets {
  /** Hosts that are taken for live. */
  live: readonly string[];
  /** Hosts that are lost, and seeds. */
  attempted: readonly string[];
}

/** Chooses whom a host tells of itself. */
export class FleetTargets {
  private readonly nearOrder: VisitOrder;
  private readonly farOrder: VisitOrder;

  private constructor(private readonly options: FleetTargetsOptions) {
    this.nearOrder = VisitOrder.create(options.random);
    this.farOrder = VisitOrder.create(options.random);
  }

  /** Creates targets.
   * @param options What they are chosen from. */
  static create(options: FleetTargetsOptions): FleetTargets {
    return new FleetTargets(options);
  }

  /** Whether the process has just started.
   * @param round Number of rounds since the start. */
  static isStarting(round: number): boolean {
    return round <= STARTING_ROUNDS;
  }

  /** Chooses the hosts told in a round.
   * @param round Number of rounds since the start.
   * @param now Monotonic milliseconds. */
  choose(round: number, now: number): RoundTargets {
    const live = this.chooseLive(now);
    const size = this.options.hosts.isLarge ? "large" : "small";
    const isDue = FleetTargets.isStarting(round) ||
      round % ROUNDS_PER_ATTEMPT[size] === 0;
    return { live, attempted: isDue ? this.chooseLost(live, size, now) : [] };
  }

  /** Chooses hosts that are taken for live.
   * @param now Monotonic milliseconds. */
  chooseLive(now: number): string[] {
    const { hosts, hall } = this.options;
    const live = hosts.getLive(now);
    if (!hosts.isLarge) return live.map(({ entry }) => entry.gossipAddress);
    const isNear = ({ entry }: KnownHost) => entry.hall === hall;
    const near = live.filter(isNear);
    const far = live.filter((host) => !isNear(host));
    return [
      ...this.nearOrder.take(near, OWN_HALL_FANOUT),
      ...this.farOrder.take(far, OTHER_HALLS_FANOUT),
    ];
  }

  private chooseLost(
    live: readonly string[],
    size: keyof typeof MAX_ATTEMPTS,
    now: number,
  ): string[] {
    const { hosts, random, getSeeds, address } = this.options;
    const lost = hosts.getAll().filter((host) => !hosts.isLive(host, now))
      .map(({ entry }) => entry.gossipAddress);
    const attempts = random.shuffle(lost).slice(0, MAX_ATTEMPTS[size]);
    const all = new Set([...attempts, ...getSeeds()]);
    return [...all].filter((one) => one !== address && !live.includes(one));
  }
}
