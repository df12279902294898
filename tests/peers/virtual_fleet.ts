import { WatchOrder } from "../../src/gateway/watch_order.ts";
import { AgeQuestions } from "../../src/peers/age_questions.ts";
import type { Datagram, DatagramType } from "../../src/peers/datagram.ts";
import type {
  DatagramHandler,
  DatagramPort,
} from "../../src/peers/datagram_socket.ts";
import { pino } from "pino";
import { Gossip } from "../../src/peers/gossip.ts";
import { Random } from "../../src/random/random.ts";
import { VirtualTimeline } from "../clock/virtual_timeline.ts";
import { buildEntry } from "./build_entry.ts";

const SILENT = pino({ level: "silent" });

/** Least and most time of a datagram on its way, in milliseconds. */
const DELIVERY_MS = [1, 20] as const;

/** What a fleet in virtual time is made of. */
export interface VirtualFleetOptions {
  seed: number;
  /** Number of hosts. */
  size: number;
  /** Fraction of the datagrams that are lost. */
  loss: number;
  /** Time within which the hosts start, in milliseconds. */
  startWithinMs: number;
}

type AnyHandler = DatagramHandler<DatagramType>;

interface VirtualHost {
  id: string;
  gossip: Gossip;
  handlers: Map<DatagramType, AnyHandler>;
  close: () => void;
}

/** Hosts that tell each other of themselves, with the timers and datagrams of all in one virtual time. */
export class VirtualFleet {
  readonly timeline = VirtualTimeline.create();
  private readonly hosts = new Map<string, VirtualHost>();
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

  private startHost(index: number): void {
    const { timeline, random } = this;
    const address = getAddress(index);
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
    });
    const gossip = Gossip.create({
      logger: SILENT,
      socket,
      address,
      hall: "h",
      getSeeds: () => [getAddress(0)],
      describeSelf: () => own,
      takeFacts: () => [],
      hasFacts: () => false,
      onFacts: () => undefined,
      onEntry: () => undefined,
      timeline,
      random: random.fork(),
    });
    const questions = AgeQuestions.create({
      socket,
      getSources: () => this.find(gossip, this.order(gossip, id).getSources()),
      getPartners: () =>
        this.find(gossip, this.order(gossip, id).getFellowWatchers()),
      getWord: () => ({ digest: 1, revision: 1, publicationAgeMs: 10 }),
      getPhase: () => "ready",
      hosts: gossip.hosts,
      tellEntries: (asker, names) => gossip.tellEntries(asker, names),
      onWord: () => undefined,
      timeline,
    });
    const close = () => {
      gossip.close();
      questions.close();
    };
    this.hosts.set(address, { id, gossip, handlers, close });
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
    if (this.random.fraction() < this.options.loss) return;
    const delayMs = this.random.integer(...DELIVERY_MS);
    this.timeline.after(delayMs, () => {
      this.hosts.get(to)?.handlers.get(datagram.type)?.(datagram, from);
    });
  }
}

function getAddress(index: number): string {
  return `127.0.0.${index + 1}:1`;
}
