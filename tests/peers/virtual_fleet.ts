import { WatchOrder } from "../../src/gateway/watch_order.ts";
import { AgeQuestions } from "../../src/peers/age_questions.ts";
import type { Timeline } from "../../src/clock/timeline.ts";
import type { Datagram, DatagramType } from "../../src/peers/datagram.ts";
import type {
  DatagramHandler,
  DatagramPort,
} from "../../src/peers/datagram_socket.ts";
import { pino } from "pino";
import { encodeDatagram } from "../../src/peers/datagram_codec.ts";
import { Gossip } from "../../src/peers/gossip.ts";
import type { ReadHosts } from "../../src/peers/host_pull.ts";
import { Random } from "../../src/random/random.ts";
import { VirtualTimeline } from "../clock/virtual_timeline.ts";
import { buildEntry } from "./build_entry.ts";

const SILENT = pino({ level: "silent" });

/** Least and most time of a datagram on its way, in milliseconds. */
const DELIVERY_MS = [1, 20] as const;

/** Time in which a host reads all hosts that another knows, in milliseconds. */
const HOSTS_READ_MS = 20;
/** Halls over which the hosts are spread. */
const HALLS = 5;

/** What a fleet in virtual time is made of. */
export interface VirtualFleetOptions {
  seed: number;
  /** Number of hosts. */
  size: number;
  /** Fraction of the datagrams that are lost. */
  loss: number;
  /** Time within which the hosts start, in milliseconds. */
  startWithinMs: number;
  /** Whether bytes are counted, which takes most of a run's time. */
  countsBytes?: boolean;
}

type AnyHandler = DatagramHandler<DatagramType>;

interface VirtualHost {
  id: string;
  gossip: Gossip;
  handlers: Map<DatagramType, AnyHandler>;
  /** Hosts in other parts do not reach this one. */
  part: number;
  sentBytes: number;
  close: () => void;
}

/** Hosts that tell each other of themselves, with the timers and datagrams of all in one virtual time. */
export class VirtualFleet {
  readonly timeline = VirtualTimeline.create();
  private readonly hosts = new Map<string, VirtualHost>();
  /** By address of a host that does not run, what it would have done meanwhile. */
  private readonly frozen = new Map<string, (() => void)[]>();
  private readonly numbers = new Map<string, number>();
  private readonly random: Random;

  private constructor(private readonly options: VirtualFleetOptions) {
    this.random = Random.create(options.seed);
  }

  /** Creates a fleet whose hosts start at random moments and know only the first.
   * @param options What it is made of. */
  static create(options: VirtualFleetOptions): VirtualFleet {
    const fleet = new VirtualFleet(options);
    for (let index = 0; index < options.size; index++) {
      const at = fleet.random.integer(0, options.startWithinMs);
      fleet.timeline.after(at, () => fleet.startHost(index));
    }
    return fleet;
  }

  /** Ends a host.
   * @param index Its number. */
  stopHost(index: number): void {
    const address = getAddress(index);
    this.hosts.get(address)!.close();
    this.hosts.delete(address);
  }

  /** Ids of the hosts that any host takes for live. */
  getNamed(): Set<string> {
    const now = this.timeline.read();
    return new Set(
      [...this.hosts.values()].flatMap(({ gossip }) =>
        gossip.hosts.getLive(now).map(({ entry }) => entry.id)
      ),
    );
  }

  /** Hosts that each host is missing at this moment, as `observer lacks host`. */
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
   * @param index Its number.
   * @param start Its first incarnation, where that does not follow from the time. */
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
    const own = buildEntry({
      id,
      gossipAddress: address,
      callerAddress: address,
      hall: getHall(index),
    });
    const gossip = Gossip.create({
      logger: SILENT,
      socket,
      address,
      hall: getHall(index),
      getSeeds: () => [getAddress(0)],
      describeSelf: () => own,
      takeFacts: () => [],
      hasFacts: () => false,
      onFacts: () => undefined,
      onEntry: () => undefined,
      readHosts: (host, done) =>
        this.readHosts(address, host.gossipAddress, done),
      firstIncarnation: start.incarnation ??
        1_000 + Math.round(timeline.read()),
      timeline,
      random: random.fork(),
    });
    const questions = AgeQuestions.create({
      socket,
      getSources: () => this.find(gossip, this.order(gossip, id).getSources()),
      getWord: () => ({ digest: 1, revision: 1, publicationAgeMs: 10 }),
      onWord: () => undefined,
      timeline,
    });
    const close = () => {
      gossip.close();
      questions.close();
    };
    this.numbers.set(address, index);
    this.hosts.set(address, {
      id,
      gossip,
      handlers,
      part: 0,
      sentBytes: 0,
      close,
    });
  }

  /** Parts hosts from the others, or joins all again.
   * @param isApart Whether a host, by its number, is in the other part. */
  part(isApart: (index: number) => boolean): void {
    for (const [address, host] of this.hosts) {
      host.part = isApart(this.numbers.get(address)!) ? 1 : 0;
    }
  }

  /** Lets a host neither send, hear nor run until it is thawed.
   * @param index Its number. */
  freezeHost(index: number): void {
    this.frozen.set(getAddress(index), []);
  }

  /** Lets a frozen host run what it missed, and go on.
   * @param index Its number. */
  thawHost(index: number): void {
    const address = getAddress(index);
    const missed = this.frozen.get(address) ?? [];
    this.frozen.delete(address);
    for (const action of missed) action();
  }

  /** Whether any other host takes a host for live.
   * @param index Its number. */
  getNamedByOthers(index: number): boolean {
    const now = this.timeline.read();
    return [...this.hosts].some(([address, { gossip }]) =>
      address !== getAddress(index) &&
      gossip.hosts.getLive(now).some(({ entry }) => entry.id === `g-${index}`)
    );
  }

  /** Number of hosts that each host takes for live, without itself. */
  getLiveCounts(): number[] {
    const now = this.timeline.read();
    return [...this.hosts.values()].map(({ gossip }) =>
      gossip.hosts.getLive(now).length
    );
  }

  /** Bytes that each host has sent so far, when they are written as the product writes them. */
  getSentBytes(): number[] {
    return [...this.hosts.values()].map(({ sentBytes }) => sentBytes);
  }

  private readHosts(
    reader: string,
    told: string,
    done: Parameters<ReadHosts>[1],
  ): void {
    this.timeline.after(HOSTS_READ_MS, () => {
      const host = this.hosts.get(told);
      if (!host || !this.isConnected(reader, told)) return done(undefined);
      done(structuredClone(host.gossip.getHostStates()));
    });
  }

  private isConnected(from: string, to: string): boolean {
    return this.hosts.get(from)?.part === this.hosts.get(to)?.part;
  }

  private order(gossip: Gossip, id: string): WatchOrder {
    const live = gossip.hosts.getLive(this.timeline.read());
    return WatchOrder.create(id, live.map(({ entry }) => entry.id));
  }

  private find(gossip: Gossip, ids: readonly string[]): string[] {
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
    const delayMs = this.random.integer(...DELIVERY_MS);
    const copy = copyDatagram(datagram);
    this.timeline.after(delayMs, () => {
      if (!this.isConnected(from, to)) return;
      const host = this.hosts.get(to);
      this.run(to, () => host?.handlers.get(datagram.type)?.(copy, from));
    });
  }

  /** Runs an action of a host, once it is not frozen. */
  private run(address: string, action: () => void): void {
    const missed = this.frozen.get(address);
    if (missed) missed.push(action);
    else action();
  }

  /** The timeline of a host, whose timers wait while it is frozen. */
  private createTimeline(address: string): Timeline {
    const { timeline } = this;
    const hold = (action: () => void) => () => this.run(address, action);
    return {
      read: () => timeline.read(),
      every: (intervalMs, action) => timeline.every(intervalMs, hold(action)),
      after: (delayMs, action) => timeline.after(delayMs, hold(action)),
    };
  }
}

/** Copies the entries, which tables change; all else in a datagram is left as it is. */
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
