import type { Random } from "../random/random.ts";
import type { HostTable } from "./host_table.ts";
import type { KnownHost } from "./known_host.ts";
import { RandomRoundRobin } from "./random_round_robin.ts";

/** Hosts of the local hall that are contacted per round in a large fleet; in a small fleet all hosts are. */
const LOCAL_HALL_FANOUT = 2;
/** Hosts of other halls that are contacted per round in a large fleet; traffic between halls is expensive. */
const REMOTE_HALLS_FANOUT = 1;
/** Unreachable hosts that are contacted per attempt; fewer in a large fleet, where many hosts try. */
const MAX_RECONNECTS = { small: 10, large: 2 } as const;
/** Rounds between two attempts to reach unreachable hosts and the seeds: 0.8 s in a small fleet; 1.2 s in a large one,
 * which is every other probe round. */
const ROUNDS_PER_RECONNECT = { small: 4, large: 6 } as const;
/** Rounds after the start in which unreachable hosts and the seeds are contacted every time, since all hosts may be
 * starting: two seconds. */
const STARTING_ROUNDS = 10;

/** Dependencies of the target selection. */
export interface GossipTargetsOptions {
  hosts: HostTable;
  random: Random;
  /** Gossip address of this host, as ip:port. */
  address: string;
  /** Hall of this host. */
  hall: string;
  /** Returns the gossip addresses of the seed hosts; called for each attempt, since settings may change. */
  getSeeds: () => readonly string[];
}

/** Gossip addresses of the hosts that are contacted in a round. */
export interface RoundTargets {
  /** Hosts that are considered live. */
  live: readonly string[];
  /** Unreachable hosts and seeds. */
  reconnects: readonly string[];
}

/** Chooses the hosts to which this one sends gossip. */
export class GossipTargets {
  private readonly localOrder: RandomRoundRobin;
  private readonly remoteOrder: RandomRoundRobin;

  private constructor(private readonly options: GossipTargetsOptions) {
    this.localOrder = RandomRoundRobin.create(options.random);
    this.remoteOrder = RandomRoundRobin.create(options.random);
  }

  /** Creates a target selection.
   * @param options Its dependencies. */
  static create(options: GossipTargetsOptions): GossipTargets {
    return new GossipTargets(options);
  }

  /** Whether a round belongs to the start of the process.
   * @param round Number of rounds since the start. */
  static isStarting(round: number): boolean {
    return round <= STARTING_ROUNDS;
  }

  /** Chooses the hosts to contact in a round.
   * @param round Number of rounds since the start.
   * @param now Monotonic milliseconds. */
  choose(round: number, now: number): RoundTargets {
    const live = this.chooseLive(now);
    const size = this.options.hosts.isLarge ? "large" : "small";
    const isDue = GossipTargets.isStarting(round) ||
      round % ROUNDS_PER_RECONNECT[size] === 0;
    return {
      live,
      reconnects: isDue ? this.chooseReconnects(live, size, now) : [],
    };
  }

  /** Chooses among the hosts that are considered live.
   * @param now Monotonic milliseconds. */
  chooseLive(now: number): string[] {
    const { hosts, hall } = this.options;
    const live = hosts.getLive(now);
    if (!hosts.isLarge) return live.map(({ entry }) => entry.gossipAddress);
    const isLocal = ({ entry }: KnownHost) => entry.hall === hall;
    const local = live.filter(isLocal);
    const remote = live.filter((host) => !isLocal(host));
    return [
      ...this.localOrder.take(local, LOCAL_HALL_FANOUT),
      ...this.remoteOrder.take(remote, REMOTE_HALLS_FANOUT),
    ];
  }

  private chooseReconnects(
    live: readonly string[],
    size: keyof typeof MAX_RECONNECTS,
    now: number,
  ): string[] {
    const { hosts, random, getSeeds, address } = this.options;
    const unreachable = hosts.getAll().filter((host) =>
      !hosts.isLive(host, now)
    )
      .map(({ entry }) => entry.gossipAddress);
    const chosen = random.shuffle(unreachable).slice(0, MAX_RECONNECTS[size]);
    const all = new Set([...chosen, ...getSeeds()]);
    return [...all].filter((target) =>
      target !== address && !live.includes(target)
    );
  }
}
