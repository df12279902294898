import { WatcherRanking } from "../../src/gateway/watcher_ranking.ts";
import { PublicationStatusPoller } from "../../src/peers/publication_status_poller.ts";
import type { Timeline } from "../../src/clock/timeline.ts";
import type { Datagram, DatagramType } from "../../src/peers/datagram.ts";
import type {
  DatagramHandler,
  DatagramPort,
} from "../../src/peers/datagram_socket.ts";
import { pino } from "pino";
import { encodeDatagram } from "../../src/peers/datagram_codec.ts";
import { Gossip } from "../../src/peers/gossip.ts";
import type { PeerEntry } from "../../src/peers/gossip_schema.ts";
import type { ReadHosts } from "../../src/peers/host_pull.ts";
import { Random } from "../../src/random/random.ts";
import { VirtualTimeline } from "../clock/virtual_timeline.ts";
import { buildEntry } from "./build_entry.ts";

const SILENT = pino({ level: "silent" });

/** Minimum and maximum delivery delay of a datagram, in milliseconds. */
const DELIVERY_DELAY_MS = [1, 20] as const;

/** Time that a read of another host's table takes, in milliseconds. */
const HOSTS_RESPONSE_MS = 20;
/** Number of halls among which the hosts are distributed. */
const HALLS = 5;

/** Options of a fleet in virtual time. */
export interface VirtualFleetOptions {
  seed: number;
  /** Number of hosts. */
  size: number;
  /** Fraction of the datagrams that are lost. */
  loss: number;
  /** Time within which the hosts start, in milliseconds. */
  startWithinMs: number;
  /** Number of hosts that start; all by default. The others can be started later. */
  startSize?: number;
  /** Number of seed hosts, the first ones by index; 1 by default. */
  seeds?: number;
  /** Whether sent bytes are counted, which takes most of a run's time. */
  countsBytes?: boolean;
  /** Time for which a host publishes that it is starting, in milliseconds; 0 by default. */
  startingMs?: number;
  /** Called with each host entry that a host receives. */
  onEntry?: (index: number, entry: PeerEntry) => void;
  /** Called with each host that starts; returns what to close when it stops. */
  onStart?: (host: StartedHost) => () => void;
}

/** A host that has started, for further components on it. */
export interface StartedHost {
  index: number;
  address: string;
  hall: string;
  gossip: Gossip;
  socket: DatagramPort;
  timeline: Timeline;
}

type AnyHandler = DatagramHandler<DatagramType>;

interface VirtualHost {
  id: string;
  gossip: Gossip;
  handlers: Map<DatagramType, AnyHandler>;
  sentBytes: number;
  close: () => void;
}

/** Simulated fleet of hosts that gossip, whose timers and datagrams run in one virtual timeline. */
export class VirtualFleet {
  readonly timeline = VirtualTimeline.create();
  private readonly hosts = new Map<string, VirtualHost>();
  /** Deferred actions of the paused hosts, by address. */
  private readonly deferred = new Map<string, (() => void)[]>();
  private readonly indexByAddress = new Map<string, number>();
  private readonly random: Random;
  /** Returns the network partition of a host; hosts of different partitions cannot reach each other. */
  private getPartition: (index: number) => number = () => 0;

  private constructor(private readonly options: VirtualFleetOptions) {
    this.random = Random.create(options.seed);
  }

  /** Creates a fleet whose hosts start at random times.
   * @param options Its options. */
  static create(options: VirtualFleetOptions): VirtualFleet {
    const fleet = new VirtualFleet(options);
    for (let index = 0; index < (options.startSize ?? options.size); index++) {
      const at = fleet.random.integer(0, options.startWithinMs);
      fleet.timeline.after(at, () => fleet.startHost(index));
    }
    return fleet;
  }

  /** Stops a host.
   * @param index Its index. */
  stopHost(index: number): void {
    const address = getAddress(index);
    this.hosts.get(address)!.close();
    this.hosts.delete(address);
    this.deferred.delete(address);
  }

  /** Returns the ids of the hosts that any host considers live. */
  getLiveIds(): Set<string> {
    const now = this.timeline.read();
    return new Set(
      [...this.hosts.values()].flatMap(({ gossip }) =>
        gossip.hosts.getLive(now).map(({ entry }) => entry.id)
      ),
    );
  }

  /** Returns the running hosts that each host does not consider live, as `observer lacks host`. */
  findMissing(): string[] {
    const now = this.timeline.read();
    return [...this.hosts.entries()].flatMap(([address, { id, gossip }]) => {
      const live = new Set(
        gossip.hosts.getLive(now).map(({ entry }) => entry.id),
      );
      return [...this.hosts.entries()].filter(([other, host]) =>
        other !== address && !live.has(host.id)
      ).map(([, host]) => `${id} lacks ${host.id}`);
    });
  }

  /** Starts a host.
   * @param index Its index.
   * @param start Its first incarnation, if that does not follow from the virtual time. */
  startHost(index: number, start: { incarnation?: number } = {}): void {
    const { random } = this;
    const address = getAddress(index);
    const timeline = this.createTimeline(address);
    const handlers: VirtualHost["handlers"] = new Map();
    const socket: DatagramPort = {
      handle: (type, handler) =>
        void handlers.set(type, handler as unknown as AnyHandler),
      send: (to, datagram) => this.deliver(address, to, datagram),
    };
    const id = `g-${index}`;
    const entry = buildEntry({
      id,
      gossipAddress: address,
      callerAddress: address,
      hall: getHall(index),
    });
    const readyAt = timeline.read() + (this.options.startingMs ?? 0);
    const gossip = Gossip.create({
      logger: SILENT,
      socket,
      address,
      hall: getHall(index),
      getSeeds: () => this.getSeeds(),
      describeSelf: () => ({
        ...entry,
        phase: timeline.read() < readyAt ? "starting" : "ready",
      }),
      takePrefixUpdates: () => [],
      hasPrefixUpdates: () => false,
      onPrefixUpdates: () => undefined,
      onEntry: (received) => this.options.onEntry?.(index, received),
      readHosts: (host, done) =>
        this.readHosts(address, host.gossipAddress, done),
      firstIncarnation: start.incarnation ??
        1_000 + Math.round(timeline.read()),
      timeline,
      random: random.fork(),
    });
    const poller = PublicationStatusPoller.create({
      socket,
      getSources: () =>
        this.findAddresses(
          gossip,
          this.buildWatcherRanking(gossip, id).getSources(),
        ),
      getStatus: () => ({
        digest: 1,
        revision: 1,
        publicationAgeMs: 10,
        isPlatformUnavailable: false,
      }),
      onStatus: () => undefined,
      timeline,
    });
    const hall = getHall(index);
    const closeComponents = this.options.onStart?.(
      { index, address, hall, gossip, socket, timeline },
    );
    const close = () => {
      gossip.close();
      poller.close();
      closeComponents?.();
    };
    this.indexByAddress.set(address, index);
    this.hosts.set(address, {
      id,
      gossip,
      handlers,
      sentBytes: 0,
      close,
    });
  }

  /** Returns the gossip of a host; undefined while it is not running.
   * @param index Its index. */
  findGossip(index: number): Gossip | undefined {
    return this.hosts.get(getAddress(index))?.gossip;
  }

  /** Partitions hosts from the others, or heals the partition.
   * @param isSeparated Whether the host of an index is in the second partition. */
  part(isSeparated: (index: number) => boolean): void {
    this.setPartitions((index) => Number(isSeparated(index)));
  }

  /** Divides the hosts, also those that start later, into partitions that cannot reach each other.
   * @param getPartition Returns the partition of a host by its index. */
  setPartitions(getPartition: (index: number) => number): void {
    this.getPartition = getPartition;
  }

  /** Returns the gossip addresses of the seed hosts. */
  getSeeds(): string[] {
    return Array.from(
      { length: this.options.seeds ?? 1 },
      (_, index) => getAddress(index),
    );
  }

  /** Whether a host is running and not paused.
   * @param index Its index. */
  isActive(index: number): boolean {
    const address = getAddress(index);
    return this.hosts.has(address) && !this.deferred.has(address);
  }

  /** Pauses a host: it neither sends, receives nor runs timers until it is resumed.
   * @param index Its index. */
  pauseHost(index: number): void {
    this.deferred.set(getAddress(index), []);
  }

  /** Resumes a paused host and runs its deferred actions.
   * @param index Its index. */
  resumeHost(index: number): void {
    const address = getAddress(index);
    const actions = this.deferred.get(address) ?? [];
    this.deferred.delete(address);
    for (const action of actions) action();
  }

  /** Whether any other host considers a host live.
   * @param index Its index. */
  isLiveForOthers(index: number): boolean {
    const now = this.timeline.read();
    return [...this.hosts].some(([address, { gossip }]) =>
      address !== getAddress(index) &&
      gossip.hosts.getLive(now).some(({ entry }) => entry.id === `g-${index}`)
    );
  }

  /** Returns the number of other hosts that each host considers live. */
  getLiveCounts(): number[] {
    const now = this.timeline.read();
    return [...this.hosts.values()].map(({ gossip }) =>
      gossip.hosts.getLive(now).length
    );
  }

  /** Returns the bytes that each host has sent so far, as encoded by the production codec. */
  getSentBytes(): number[] {
    return [...this.hosts.values()].map(({ sentBytes }) => sentBytes);
  }

  private readHosts(
    reader: string,
    target: string,
    done: Parameters<ReadHosts>[1],
  ): void {
    this.timeline.after(HOSTS_RESPONSE_MS, () => {
      const host = this.hosts.get(target);
      if (!host || !this.isConnected(reader, target)) return done(undefined);
      done(structuredClone(host.gossip.getHostStates()));
    });
  }

  private isConnected(from: string, to: string): boolean {
    return this.getPartition(this.indexByAddress.get(from)!) ===
      this.getPartition(this.indexByAddress.get(to)!);
  }

  private buildWatcherRanking(gossip: Gossip, id: string): WatcherRanking {
    const live = gossip.hosts.getLive(this.timeline.read());
    return WatcherRanking.create(id, live.map(({ entry }) => entry.id));
  }

  private findAddresses(gossip: Gossip, ids: readonly string[]): string[] {
    if (!gossip.isLargeFleet) return [];
    const live = gossip.hosts.getLive(this.timeline.read());
    return live.filter(({ entry }) => ids.includes(entry.id)).map(({ entry }) =>
      entry.gossipAddress
    );
  }

  private deliver(from: string, to: string, datagram: Datagram): void {
    const sender = this.hosts.get(from);
    if (sender && this.options.countsBytes) {
      sender.sentBytes += encodeDatagram(datagram).length;
    }
    if (this.random.fraction() < this.options.loss) return;
    const delayMs = this.random.integer(...DELIVERY_DELAY_MS);
    const copy = copyDatagram(datagram);
    this.timeline.after(delayMs, () => {
      if (!this.isConnected(from, to)) return;
      const host = this.hosts.get(to);
      this.runUnlessPaused(
        to,
        () => host?.handlers.get(datagram.type)?.(copy, from),
      );
    });
  }

  /** Runs an action of a host, or defers it while the host is paused. */
  private runUnlessPaused(address: string, action: () => void): void {
    const actions = this.deferred.get(address);
    if (actions) actions.push(action);
    else action();
  }

  /** Creates the timeline of a host, whose timers are deferred while it is paused. */
  private createTimeline(address: string): Timeline {
    const { timeline } = this;
    const deferWhilePaused = (action: () => void) => () =>
      this.runUnlessPaused(address, action);
    return {
      read: () => timeline.read(),
      every: (intervalMs, action) =>
        timeline.every(intervalMs, deferWhilePaused(action)),
      after: (delayMs, action) =>
        timeline.after(delayMs, deferWhilePaused(action)),
    };
  }
}

/** Copies the sender's entry, which host tables modify; the rest of the datagram is shared. */
function copyDatagram(datagram: Datagram): Datagram {
  if (datagram.type !== "gossip") return datagram;
  const { message } = datagram;
  return {
    ...datagram,
    message: { ...message, sender: { ...message.sender } },
  };
}

function getHall(index: number): string {
  return `h-${index % HALLS}`;
}

function getAddress(index: number): string {
  return `127.0.${index >> 8}.${index & 0xff}:1`;
}
