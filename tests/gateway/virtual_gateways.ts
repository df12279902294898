import { pino } from "pino";
import { BoundLedger } from "../../fakes/bound_ledger.ts";
import {
  type PromptRequest,
  PromptTraffic,
  type PromptTrafficOptions,
} from "../../fakes/prompt_traffic.ts";
import type { RoutedCall } from "../../src/forward/routed_call.ts";
import { recordPeerLoads } from "../../src/gateway/record_told_loads.ts";
import { UpstreamChooser } from "../../src/gateway/upstream_chooser.ts";
import type { Datagram, DatagramType } from "../../src/peers/datagram.ts";
import type { DatagramHandler } from "../../src/peers/datagram_socket.ts";
import { Gossip } from "../../src/peers/gossip.ts";
import type { PeerEntry } from "../../src/peers/gossip_schema.ts";
import type { ReadHosts } from "../../src/peers/host_pull.ts";
import { Random } from "../../src/random/random.ts";
import { VirtualTimeline } from "../clock/virtual_timeline.ts";
import { buildEntry } from "../peers/build_entry.ts";
import { buildRoute } from "../published/build_published.ts";
import { VirtualEngine } from "./virtual_engine.ts";

const SILENT = pino({ level: "silent" });
const HALLS = 4;
/** Time of a datagram on its way, in milliseconds. */
const DELIVERY_MS = [1, 4] as const;
/** Time of a request from a host to an engine, in milliseconds. */
const SENDING_MS = [1, 3] as const;
/** Time after which other hosts of a large fleet know which engines keep a part, in milliseconds. */
const DIRECTORY_MS = 20;
/** Time in which a host reads all hosts that another knows, in milliseconds. */
const HOSTS_READ_MS = 10;
/** Time in which hosts find each other before there is traffic, in milliseconds. */
const LEAD_MS = 4_000;
const BOUND_MULTIPLE = 2;

/** What a fleet in virtual time is made of. */
export interface VirtualGatewaysOptions extends PromptTrafficOptions {
  seed: number;
  hosts: number;
  engines: number;
  /** Requests that an engine works on at once. */
  slots: number;
  /** Time of traffic, in milliseconds. */
  lastsMs: number;
  /** Engines that say at `hotFromMs` that they leave; they serve on until the end. */
  leaving: number;
}

interface VirtualHost {
  address: string;
  chooser: UpstreamChooser;
  gossip: Gossip;
  handlers: Map<DatagramType, DatagramHandler<DatagramType>>;
}

/** Gateways with their own decisions and gossip before engines, all in one virtual time. */
export class VirtualGateways {
  readonly timeline = VirtualTimeline.create();
  /** What the engines were sent. */
  readonly ledger = BoundLedger.create(BOUND_MULTIPLE);
  /** Requests by what decided their engine. */
  readonly bases = new Map<string, number>();
  readonly engines: VirtualEngine[];
  private readonly hosts: VirtualHost[];
  private readonly random: Random;
  private sharedTokens = 0;

  private constructor(private readonly options: VirtualGatewaysOptions) {
    this.random = Random.create(options.seed);
    const { engines, hosts, slots } = options;
    this.engines = Array.from(
      { length: engines },
      (_, index) =>
        VirtualEngine.create({
          timeline: this.timeline,
          index,
          slots,
          hall: getHall(index),
        }),
    );
    this.hosts = Array.from(
      { length: hosts },
      (_, index) => this.createHost(index),
    );
  }

  /** Runs a fleet to its end.
   * @param options What it is made of. */
  static run(options: VirtualGatewaysOptions): VirtualGateways {
    const fleet = new VirtualGateways(options);
    fleet.startTraffic();
    const { leaving, hotFromMs } = options;
    fleet.timeline.after(
      LEAD_MS + hotFromMs,
      () => fleet.publishLeaving(leaving),
    );
    fleet.timeline.runUntil(LEAD_MS + options.lastsMs);
    return fleet;
  }

  /** Part of the tokens of shared prompts that engines did not have to read. */
  get reuse(): number {
    const read = this.engines.reduce((sum, one) => sum + one.readTokens, 0);
    return 1 - read / Math.max(1, this.sharedTokens);
  }

  private publishLeaving(count: number): void {
    const changes = this.engines.slice(0, count).map(({ published }) => ({
      id: published.id,
      revision: 2,
      upstream: { ...published, isLeaving: true },
    }));
    for (const { chooser } of this.hosts) chooser.upstreams.apply(changes);
  }

  private createHost(index: number): VirtualHost {
    const { timeline, random } = this;
    const address = getAddress(index);
    const hall = getHall(index);
    const chooser = this.createChooser(hall, index);
    const handlers: VirtualHost["handlers"] = new Map();
    const own = buildEntry({ id: `g-${index}`, gossipAddress: address, hall });
    const gossip = Gossip.create({
      logger: SILENT,
      socket: {
        handle: (type, handler) =>
          void handlers.set(
            type,
            handler as unknown as DatagramHandler<DatagramType>,
          ),
        send: (to, datagram) => this.deliver(address, to, datagram),
      },
      address,
      hall,
      getSeeds: () => [getAddress(0)],
      describeSelf: () => ({
        ...own,
        loads: chooser.loads.getOwn(chooser.upstreams.getAll()),
      }),
      takeFacts: () => chooser.prefixes.takeFacts(),
      hasFacts: () => chooser.prefixes.hasUntold,
      onFacts: (facts) => chooser.prefixes.learn(facts, timeline.read()),
      onEntry: (entry, heardAt) =>
        recordPeerLoads(chooser.loads, entry, heardAt, gossip.isLargeFleet),
      readHosts: (other, done) => this.readHosts(other, done),
      timeline,
      random: random.fork(),
    });
    return { address, chooser, gossip, handlers };
  }

  private readHosts(
    { gossipAddress }: PeerEntry,
    done: Parameters<ReadHosts>[1],
  ): void {
    const other = this.hosts.find(({ address }) => address === gossipAddress);
    this.timeline.after(
      HOSTS_READ_MS,
      () => done(other?.gossip.getHostStates()),
    );
  }

  private createChooser(hall: string, index: number): UpstreamChooser {
    const chooser = UpstreamChooser.create({
      logger: SILENT,
      getSettings: () => ({
        boundMultiple: BOUND_MULTIPLE,
        hall,
        leaveWithinMs: 2_000,
        retryRatio: 0.2,
        retryExtra: 50,
        retryWindowMs: 10_000,
      }),
      getService: () => undefined,
      countHosts: () => 1 + this.getLiveCount(index),
      countBudgetHosts: () => this.options.hosts,
      getLapseEndsAt: () => -Infinity,
      onPrefixUpdates: () => this.tellFacts(index),
      onRestart: () => undefined,
      onAvailability: () => undefined,
      onDrop: () => undefined,
      onSend: () => undefined,
      onHealthSignal: () => undefined,
      readNow: () => this.timeline.read(),
      random: this.random.fork(),
    });
    chooser.upstreams.apply(
      this.engines.map(({ published }) => ({
        id: published.id,
        revision: 1,
        upstream: published,
      })),
    );
    return chooser;
  }

  private getLiveCount(index: number): number {
    const { gossip } = this.hosts[index]!;
    return gossip.hosts.getLive(this.timeline.read()).length;
  }

  private tellFacts(index: number): void {
    const { gossip, chooser } = this.hosts[index]!;
    if (!gossip.isLargeFleet) return gossip.announce();
    const facts = chooser.prefixes.takeAllFacts();
    this.timeline.after(DIRECTORY_MS, () => {
      for (const host of this.hosts) {
        host.chooser.prefixes.learn(facts, this.timeline.read());
      }
    });
  }

  private deliver(from: string, to: string, datagram: Datagram): void {
    const copy = structuredClone(datagram);
    this.timeline.after(this.random.integer(...DELIVERY_MS), () => {
      const host = this.hosts.find(({ address }) => address === to);
      host?.handlers.get(datagram.type)?.(copy, from);
    });
  }

  private startTraffic(): void {
    const { options, timeline, random } = this;
    const traffic = PromptTraffic.create(options, random);
    const sendNext = () => {
      const elapsedMs = timeline.read() - LEAD_MS;
      if (elapsedMs > options.lastsMs) return;
      this.sendFrom(random.pick(this.hosts), traffic.drawRequest(elapsedMs));
      timeline.after(traffic.drawPauseMs(), sendNext);
    };
    timeline.after(LEAD_MS, sendNext);
  }

  private sendFrom(host: VirtualHost, request: PromptRequest): void {
    const access = host.chooser.createAccess();
    const call = buildCall(request);
    const choice = access.choose(call, new Set())!;
    const { upstream, basis } = choice;
    this.bases.set(basis, (this.bases.get(basis) ?? 0) + 1);
    access.placePrompt(call, upstream);
    this.sharedTokens += request.tokens;
    upstream.ownRequests += 1;
    const engine = this.engines.find(({ published }) =>
      published.id === upstream.id
    )!;
    const { timeline } = this;
    const sentAt = timeline.read();
    timeline.after(this.random.integer(...SENDING_MS), () => {
      this.ledger.note(timeline.read(), engine.held, this.engines);
      engine.run(
        request,
        () =>
          upstream.reported = {
            requests: engine.held,
            at: timeline.read(),
          },
        () => {
          upstream.ownRequests -= 1;
          access.noteCompleted(call, timeline.read() - sentAt);
        },
      );
    });
  }
}

function getHall(index: number): string {
  return `h-${index % HALLS}`;
}

function getAddress(index: number): string {
  return `127.0.0.${index + 1}:1`;
}

function buildCall({ kind, prompt, tokens }: PromptRequest): RoutedCall {
  return {
    requestId: "r",
    method: "POST",
    path: "/",
    headers: {} as RoutedCall["headers"],
    body: undefined,
    fingerprint: 0,
    route: buildRoute({ kind: "stream", name: kind }),
    service: "s",
    customer: undefined,
    urgency: 0,
    sharedParts: [{ name: prompt, tokens }],
    receivedAt: 0,
    callerEndsAt: Infinity,
  };
}
