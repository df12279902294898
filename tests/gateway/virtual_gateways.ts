import { pino } from "pino";
import type { RoutedCall } from "../../src/forward/routed_call.ts";
import { LOADS_USED_FOR_MS } from "../../src/gateway/fleet_link.ts";
import { UpstreamChooser } from "../../src/gateway/upstream_chooser.ts";
import type { Datagram, DatagramType } from "../../src/peers/datagram.ts";
import type { DatagramHandler } from "../../src/peers/datagram_socket.ts";
import { Gossip } from "../../src/peers/gossip.ts";
import { Random } from "../../src/random/random.ts";
import { VirtualTimeline } from "../clock/virtual_timeline.ts";
import { buildEntry } from "../peers/build_entry.ts";
import { buildRoute } from "../published/build_published.ts";
import { BoundLedger } from "./bound_ledger.ts";
import {
  drawEvents,
  type RequestKind,
  VirtualEngine,
  type VirtualRequest,
} from "./virtual_engine.ts";

const SILENT = pino({ level: "silent" });
const HALLS = 4;
/** Time of a datagram on its way, in milliseconds. */
const DELIVERY_MS = [1, 4] as const;
/** Time of a request from a host to an engine, in milliseconds. */
const SENDING_MS = [1, 3] as const;
/** Time after which other hosts of a large fleet know which engines keep a part, in milliseconds. */
const DIRECTORY_MS = 20;
/** Skew of the popularity of prompts. */
const SKEW = 0.3;
/** Time in which hosts find each other before there is traffic, in milliseconds. */
const LEAD_MS = 4_000;
const BOUND_MULTIPLE = 2;
/** Short names of the parts of each kind's prompts. */
const KIND_PARTS = 1_000_000;

const KINDS: readonly RequestKind[] = [
  { weight: 29.3, prompts: 79, tokens: 10_512, events: 55, spread: 0.44 },
  { weight: 41.4, prompts: 74, tokens: 699, events: 42, spread: 0.69 },
  { weight: 50.1, prompts: 135, tokens: 2_041, events: 3, spread: 1.4 },
];

/** What a fleet in virtual time is made of. */
export interface VirtualGatewaysOptions {
  seed: number;
  hosts: number;
  engines: number;
  slots: number;
  requestsPerSecond: number;
  /** Part of each kind's traffic that asks for one prompt, from `hotFromMs` on. */
  hotShare: number;
  /** Time after which other prompts are popular, in milliseconds. */
  hotForMs: number;
  /** Popular prompts of each kind at a time. */
  hotPrompts: number;
  /** Time of traffic before prompts become popular, in milliseconds. */
  hotFromMs: number;
  /** Time of traffic, in milliseconds. */
  lastsMs: number;
  /** Engines that say that they leave, at `hotFromMs`; they serve on until the end. */
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
      (_, index) => VirtualEngine.create(this.timeline, index, slots, HALLS),
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
    const hall = `h-${index % HALLS}`;
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
      onEntry: (entry, heardAt) => {
        const usedForMs =
          LOADS_USED_FOR_MS[gossip.isLargeFleet ? "large" : "small"];
        chooser.loads.record(entry.id, {
          toldAt: heardAt,
          usedUntil: heardAt + usedForMs,
          counts: entry.loads,
        });
      },
      timeline,
      random: random.fork(),
    });
    return { address, chooser, gossip, handlers };
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
      getLapseEndsAt: () => -Infinity,
      onFacts: () => this.tellFacts(index),
      onRestart: () => undefined,
      onAvailability: () => undefined,
      onDrop: () => undefined,
      onSend: () => undefined,
      onSign: () => undefined,
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
    const { requestsPerSecond, lastsMs } = this.options;
    const prompts = KINDS.map((kind) =>
      buildPopularity(Math.round(kind.prompts * requestsPerSecond / 100))
    );
    const next = (at: number): void => {
      if (at > LEAD_MS + lastsMs) return;
      this.timeline.after(at - this.timeline.read(), () => {
        this.send(prompts);
        const pauseMs = -Math.log(1 - this.random.fraction()) * 1_000 /
          requestsPerSecond;
        next(this.timeline.read() + pauseMs);
      });
    };
    next(LEAD_MS);
  }

  private send(prompts: readonly (readonly number[])[]): void {
    const kindIndex = draw(
      buildSums(KINDS.map(({ weight }) => weight)),
      this.random,
    );
    const kind = KINDS[kindIndex]!;
    const prompt = this.drawHotPrompt() ??
      draw(prompts[kindIndex]!, this.random);
    const part = kindIndex * KIND_PARTS + prompt;
    const { tokens } = kind;
    this.sharedTokens += tokens;
    const events = drawEvents(kind, this.random);
    this.sendFrom(this.random.pick(this.hosts), { part, tokens, events });
  }

  /** A popular prompt, whose number is above those of all others; undefined where the request asks for none. */
  private drawHotPrompt(): number | undefined {
    const { hotShare, hotFromMs, hotForMs, hotPrompts } = this.options;
    const hotMs = this.timeline.read() - LEAD_MS - hotFromMs;
    if (hotMs < 0 || this.random.fraction() >= hotShare) return undefined;
    const first = KIND_PARTS / 2 + Math.floor(hotMs / hotForMs) * hotPrompts;
    return first + this.random.integer(0, hotPrompts - 1);
  }

  private sendFrom(host: VirtualHost, request: VirtualRequest): void {
    const access = host.chooser.createAccess();
    const call = buildCall(request);
    const choice = access.choose(call, new Set())!;
    const { upstream, basis } = choice;
    this.bases.set(basis, (this.bases.get(basis) ?? 0) + 1);
    access.placePrompt(call, upstream);
    upstream.ownRequests += 1;
    const engine = this.engines.find(({ published }) =>
      published.id === upstream.id
    )!;
    const { timeline } = this;
    const sentAt = timeline.read();
    timeline.after(this.random.integer(...SENDING_MS), () => {
      const total = this.engines.reduce((sum, { held }) => sum + held, 0);
      const mean = total / this.engines.length;
      this.ledger.note(timeline.read(), engine.held, mean);
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

function getAddress(index: number): string {
  return `127.0.0.${index + 1}:1`;
}

/** Sums of the weights of prompts, the most popular first. */
function buildPopularity(count: number): number[] {
  return buildSums(
    Array.from({ length: count }, (_, index) => (index + 1) ** -SKEW),
  );
}

function buildSums(weights: readonly number[]): number[] {
  let sum = 0;
  return weights.map((weight) => sum += weight);
}

/** Draws an index by sums of weights. */
function draw(sums: readonly number[], random: Random): number {
  const drawn = random.fraction() * sums.at(-1)!;
  return sums.findIndex((sum) => drawn < sum);
}

function buildCall({ part, tokens }: VirtualRequest): RoutedCall {
  return {
    requestId: "r",
    method: "POST",
    path: "/",
    headers: {} as RoutedCall["headers"],
    body: undefined,
    fingerprint: 0,
    route: buildRoute({ kind: "stream", name: String(tokens) }),
    service: "s",
    customer: undefined,
    urgency: 0,
    sharedParts: [{ name: part, tokens }],
    receivedAt: 0,
    callerEndsAt: Infinity,
  };
}
