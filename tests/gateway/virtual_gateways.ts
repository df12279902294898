import { pino } from "pino";
import { LoadBoundLedger } from "../../fakes/load_bound_ledger.ts";
import {
  type PromptRequest,
  PromptTraffic,
  type PromptTrafficOptions,
} from "../../fakes/prompt_traffic.ts";
import type { RoutedCall } from "../../src/forward/routed_call.ts";
import { recordPeerLoads } from "../../src/gateway/record_peer_loads.ts";
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
const HALL_COUNT = 4;
/** Minimum and maximum latency of a datagram. */
const DELIVERY_DELAY_RANGE_MS = [1, 4] as const;
/** Minimum and maximum latency of a request from a host to an engine. */
const SEND_DELAY_RANGE_MS = [1, 3] as const;
/** Time after which all hosts of a large fleet know which engines have a prompt part cached. */
const PREFIX_PROPAGATION_MS = 20;
/** Time that a host takes to fetch all hosts that another host knows. */
const HOSTS_FETCH_MS = 10;
/** Time in which the hosts discover each other before the traffic starts. */
const WARM_UP_MS = 4_000;
const BOUND_MULTIPLE = 2;

/** Options of {@link VirtualGateways}. */
export interface VirtualGatewaysOptions extends PromptTrafficOptions {
  seed: number;
  hosts: number;
  engines: number;
  /** Number of requests that an engine runs at once. */
  slots: number;
  /** Duration of the traffic, in milliseconds. */
  trafficMs: number;
  /** Number of engines that publish at `hotFromMs` that they are leaving; they serve until the end. */
  leaving: number;
}

interface VirtualHost {
  address: string;
  chooser: UpstreamChooser;
  gossip: Gossip;
  handlers: Map<DatagramType, DatagramHandler<DatagramType>>;
}

/** Simulates gateways with the real upstream choice and gossip in front of engines, all in virtual time. */
export class VirtualGateways {
  readonly timeline = VirtualTimeline.create();
  /** Loads of the engines as requests reached them. */
  readonly ledger = LoadBoundLedger.create(BOUND_MULTIPLE);
  /** Number of requests by the basis on which their engine was chosen. */
  readonly choiceCounts = new Map<string, number>();
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

  /** Runs a simulation to its end.
   * @param options Its options. */
  static run(options: VirtualGatewaysOptions): VirtualGateways {
    const fleet = new VirtualGateways(options);
    fleet.startTraffic();
    const { leaving, hotFromMs } = options;
    fleet.timeline.after(
      WARM_UP_MS + hotFromMs,
      () => fleet.publishLeaving(leaving),
    );
    fleet.timeline.runUntil(WARM_UP_MS + options.trafficMs);
    return fleet;
  }

  /** Fraction of the tokens of shared prompts that engines had cached and did not have to prefill. */
  get cachedFraction(): number {
    const prefilled = this.engines.reduce(
      (sum, engine) => sum + engine.prefilledTokens,
      0,
    );
    return 1 - prefilled / Math.max(1, this.sharedTokens);
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
        loads: chooser.loads.getOwnCounts(chooser.upstreams.getAll()),
      }),
      takePrefixUpdates: () => chooser.prefixes.takeUpdates(),
      hasPrefixUpdates: () => chooser.prefixes.hasPendingUpdates,
      onPrefixUpdates: (updates) =>
        chooser.prefixes.applyUpdates(updates, timeline.read()),
      onEntry: (entry, lastSeenAt) =>
        recordPeerLoads(chooser.loads, entry, lastSeenAt, gossip.isLargeFleet),
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
      HOSTS_FETCH_MS,
      () => done(other?.gossip.getHostStates()),
    );
  }

  private createChooser(hall: string, index: number): UpstreamChooser {
    const chooser = UpstreamChooser.create({
      logger: SILENT,
      hostId: `g-${index}`,
      getKnownHostIds: () => [],
      knowsFleet: () => true,
      gossipAddress: getAddress(index),
      getGossipAddress: () => undefined,
      sendSlotMessage: () => undefined,
      getSettings: () => ({
        boundMultiple: BOUND_MULTIPLE,
        hall,
        isFirstStart: true,
        leaveWithinMs: 2_000,
        retryRatio: 0.2,
        retryExtra: 50,
        retryWindowMs: 10_000,
      }),
      getService: () => undefined,
      countHosts: () => 1 + this.getLiveCount(index),
      getFleetSize: () => this.options.hosts,
      getRetainedFraction: () => 1,
      getLapseEndsAt: () => -Infinity,
      isPublicationUsable: () => true,
      getCompleteUntil: () => this.timeline.read(),
      usesDirectory: () => false,
      onOutageDisproved: () => undefined,
      onPrefixUpdates: () => this.sharePrefixUpdates(index),
      onRestart: () => undefined,
      onAvailabilityChange: () => undefined,
      onRemove: () => undefined,
      onSend: () => undefined,
      onRetryDecision: () => undefined,
      onRepeatDecision: () => undefined,
      onRoomChange: () => undefined,
      onLost: () => undefined,
      onHealthSignal: () => undefined,
      timeline: this.timeline,
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

  private sharePrefixUpdates(index: number): void {
    const { gossip, chooser } = this.hosts[index]!;
    if (!gossip.isLargeFleet) return gossip.announce();
    const updates = chooser.prefixes.takeAllUpdates();
    this.timeline.after(PREFIX_PROPAGATION_MS, () => {
      for (const host of this.hosts) {
        host.chooser.prefixes.applyUpdates(updates, this.timeline.read());
      }
    });
  }

  private deliver(from: string, to: string, datagram: Datagram): void {
    const copy = structuredClone(datagram);
    this.timeline.after(this.random.integer(...DELIVERY_DELAY_RANGE_MS), () => {
      const host = this.hosts.find(({ address }) => address === to);
      host?.handlers.get(datagram.type)?.(copy, from);
    });
  }

  private startTraffic(): void {
    const { options, timeline, random } = this;
    const traffic = PromptTraffic.create(options, random);
    const sendNext = () => {
      const elapsedMs = timeline.read() - WARM_UP_MS;
      if (elapsedMs > options.trafficMs) return;
      this.sendRequest(random.pick(this.hosts), traffic.drawRequest(elapsedMs));
      timeline.after(traffic.drawInterarrivalMs(), sendNext);
    };
    timeline.after(WARM_UP_MS, sendNext);
  }

  private sendRequest(host: VirtualHost, request: PromptRequest): void {
    const access = host.chooser.createAccess();
    const call = buildCall(request);
    const choice = access.choose(call, {
      triedIds: new Set(),
      origin: undefined,
    })!;
    const { upstream, basis } = choice;
    this.choiceCounts.set(basis, (this.choiceCounts.get(basis) ?? 0) + 1);
    access.placePrompt(call, upstream);
    this.sharedTokens += request.tokens;
    upstream.ownRequests += 1;
    const engine = this.engines.find(({ published }) =>
      published.id === upstream.id
    )!;
    const { timeline } = this;
    const sentAt = timeline.read();
    timeline.after(this.random.integer(...SEND_DELAY_RANGE_MS), () => {
      this.ledger.recordArrival(timeline.read(), engine.held, this.engines);
      engine.run(
        request,
        () =>
          upstream.reported = {
            requests: engine.held,
            at: timeline.read(),
          },
        () => {
          upstream.ownRequests -= 1;
          access.recordCompletion(call, timeline.read() - sentAt);
        },
      );
    });
  }
}

function getHall(index: number): string {
  return `h-${index % HALL_COUNT}`;
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
    callerDeadlineAt: Infinity,
  };
}
