import {
  type CancelTimer,
  processTimeline,
  type Timeline,
} from "../clock/timeline.ts";
import type { Logger } from "../logging/logger.ts";
import { Random } from "../random/random.ts";
import type { PrefixUpdate } from "../upstreams/prefix_index.ts";
import type { DatagramPort } from "./datagram_socket.ts";
import { FailureDetector } from "./failure_detector.ts";
import { FleetKnowledge } from "./fleet_knowledge.ts";
import { GossipTargets } from "./gossip_targets.ts";
import {
  GossipComposer,
  type GossipContent,
  MAX_RELAYED_ENTRIES,
} from "./gossip_composer.ts";
import { GossipReceiver, type OnPeerEntry } from "./gossip_receiver.ts";
import type { PeerEntry } from "./gossip_schema.ts";
import { HostTablePull, type ReadHosts } from "./host_pull.ts";
import { HostTable, SUSPICION_MS } from "./host_table.ts";
import type { HostState, KnownHost } from "./known_host.ts";
import { LivenessLogger } from "./liveness_logger.ts";
import { RumourReceiver } from "./rumour_receiver.ts";
import { RumourDisseminator } from "./rumour_disseminator.ts";
import { LocalHostState } from "./local_host_state.ts";

/** Interval between gossip rounds, in milliseconds; the loads known to other hosts lag by about as much. */
const ROUND_INTERVAL_MS = 200;
/** Delay of an announcement ahead of the next round, in milliseconds; changes within it are batched. */
const ANNOUNCE_DELAY_MS = 15;
/** Interval at which a host of a large fleet sends gossip, in rounds: 0.6 seconds; in a small fleet it sends in each
 * round. Sending and receiving gossip is most of what an idle host of a large fleet spends. */
const ROUNDS_PER_PROBE = { small: 1, large: 3 } as const;
/** Interval at which the entries of other hosts are relayed in a small fleet, in rounds; its hosts also contact each
 * other directly. */
const ROUNDS_PER_RELAY = 10;
/** Time between two rounds above which the process is taken to have been paused, in milliseconds. */
const PAUSED_AFTER_MS = 1_000;

/** Dependencies and callbacks of gossip. */
export interface GossipOptions {
  logger: Logger;
  socket: DatagramPort;
  /** Gossip address of this host, as ip:port. */
  address: string;
  /** Hall of this host; in a large fleet most messages go to hosts of this hall. */
  hall: string;
  /** Returns the gossip addresses of the seed hosts; called for each attempt to reach them. */
  getSeeds: () => readonly string[];
  /** Returns this host's entry without the fields that gossip itself sets. */
  describeSelf: () => Omit<PeerEntry, "incarnation" | "sequence">;
  /** Returns the prefix updates to send in a round of a small fleet; each update is returned once. */
  takePrefixUpdates: () => PrefixUpdate[];
  /** Whether unsent prefix updates remain. */
  hasPrefixUpdates: () => boolean;
  /** Called with the prefix updates of another host. */
  onPrefixUpdates: (updates: readonly PrefixUpdate[]) => void;
  onEntry: OnPeerEntry;
  /** Reads the host table of another host. */
  readHosts: ReadHosts;
  /** Must exceed the incarnations of earlier starts of this host; defaults to the time of day, which ensures that as
   * far as the clock is right. */
  firstIncarnation?: number;
  /** Defaults to the timeline of the process. */
  timeline?: Timeline;
  /** Defaults to an unseeded source. */
  random?: Random;
}

/** Gossip protocol by which hosts discover each other and exchange their state. In a small fleet each host sends its
 * entry to all others in every round; in a large one hosts probe a few others and disseminate rumours. */
export class Gossip {
  /** The other hosts. */
  readonly hosts: HostTable;
  private readonly timeline: Timeline;
  private readonly random: Random;
  private readonly self: LocalHostState;
  private readonly targets: GossipTargets;
  private readonly detector: FailureDetector;
  private readonly pull: HostTablePull;
  private readonly rumours: RumourDisseminator;
  private readonly receiver: RumourReceiver;
  private readonly composer: GossipComposer;
  private readonly livenessLogger: LivenessLogger;
  private readonly fleet: FleetKnowledge;
  private stopRounds: CancelTimer = () => undefined;
  private stopAnnouncement: CancelTimer | undefined;
  private round = 0;
  private lastRoundAt: number;

  private constructor(private readonly options: GossipOptions) {
    const { address, hall, socket, getSeeds } = options;
    this.timeline = options.timeline ?? processTimeline;
    this.random = options.random ?? Random.create();
    this.lastRoundAt = this.timeline.read();
    this.self = LocalHostState.create(
      address,
      options.firstIncarnation ?? Date.now(),
      options.describeSelf,
    );
    this.hosts = HostTable.create(
      address,
      (host) => this.handleMembershipChange(host),
    );
    const { hosts, random } = this;
    this.targets = GossipTargets.create({
      hosts,
      random,
      address,
      hall,
      getSeeds,
    });
    this.rumours = RumourDisseminator.create({
      socket,
      hosts,
      targets: this.targets,
      self: this.self,
      timeline: this.timeline,
    });
    this.receiver = RumourReceiver.create({
      logger: options.logger,
      socket,
      hosts,
      self: this.self,
      disseminator: this.rumours,
      timeline: this.timeline,
    });
    this.composer = GossipComposer.create({
      hosts,
      self: this.self,
      rumours: this.rumours,
      timeline: this.timeline,
      random,
    });
    this.livenessLogger = LivenessLogger.create(hosts, options.logger);
    this.fleet = FleetKnowledge.create({ hosts, address, getSeeds });
    this.detector = this.createDetector();
    this.pull = HostTablePull.create(options.readHosts, (states) => {
      const now = this.timeline.read();
      for (
        const { entry, lastSeenAt } of this.hosts.mergeStates(states, now)
      ) {
        options.onEntry(entry, lastSeenAt);
      }
    });
    const messageReceiver = this.createReceiver();
    socket.handle(
      "gossip",
      ({ message }) => messageReceiver.receive(message, this.timeline.read()),
    );
    socket.handle(
      "host_entries_request",
      ({ names }, sender) => this.sendEntries(sender, names),
    );
  }

  /** Starts the rounds.
   * @param options Its dependencies. */
  static create(options: GossipOptions): Gossip {
    const gossip = new Gossip(options);
    gossip.runRound();
    return gossip;
  }

  /** Whether there are too many hosts for all-to-all gossip in every round. */
  get isLargeFleet(): boolean {
    return this.hosts.isLarge;
  }

  /** Whether the known hosts are likely all hosts of the fleet. */
  get knowsFleet(): boolean {
    return this.fleet.isDiscovered(this.timeline.read());
  }

  /** Number of hosts among which limits of the fleet are divided, including this one and those that were lost lately;
   * undefined if this host has never known all of them. */
  get fleetSize(): number | undefined {
    return this.fleet.size;
  }

  /** Returns the part of the known hosts, including this one, that has not been lost within a time.
   * @param withinMs The time, in milliseconds. */
  getRetainedFraction(withinMs: number): number {
    return this.fleet.getRetainedFraction(withinMs, this.timeline.read());
  }

  /** Returns the state of all known hosts and this one, for a host that lacks some. */
  getHostStates(): HostState[] {
    const own = {
      entry: this.self.getEntry(),
      status: "alive",
      agoMs: 0,
    } as const;
    return [own, ...this.hosts.getStates(this.timeline.read())];
  }

  /** Sends gossip ahead of the next round; changes until then are included. */
  announce(): void {
    this.stopAnnouncement ??= this.timeline.after(ANNOUNCE_DELAY_MS, () => {
      this.stopAnnouncement = undefined;
      this.gossipToTargets();
    });
  }

  /** Stops the rounds. */
  close(): void {
    this.stopRounds();
    this.stopAnnouncement?.();
    this.rumours.close();
    this.detector.close();
  }

  private createReceiver(): GossipReceiver {
    const { hosts, self, composer, rumours, detector, pull, options } = this;
    return GossipReceiver.create({
      address: options.address,
      hosts,
      self,
      composer,
      rumours,
      rumourReceiver: this.receiver,
      detector,
      pull,
      isStarting: () => GossipTargets.isStarting(this.round),
      reply: (address) => this.sendMessage(address, {}),
      onPrefixUpdates: options.onPrefixUpdates,
      onEntry: options.onEntry,
    });
  }

  private createDetector(): FailureDetector {
    const { options: { logger, socket }, hosts, timeline, random } = this;
    return FailureDetector.create({
      logger,
      socket,
      hosts,
      timeline,
      random,
      sendProbe: (address, nonce) =>
        this.sendMessage(address, { probeNonce: nonce }),
      disseminator: this.rumours,
      receiver: this.receiver,
    });
  }

  /** Queues a membership change for dissemination and schedules the expiry of a suspicion. Failures wait for the next
   * round, since every host that knows of the suspicion expires it at the same time. */
  private handleMembershipChange(host: KnownHost): void {
    const { name, status, statusSince } = host;
    this.rumours.add(name);
    if (status !== "failed") this.rumours.sendSoon();
    if (status !== "suspect") return;
    const leftMs = statusSince + SUSPICION_MS - this.timeline.read();
    this.timeline.after(
      Math.max(0, leftMs),
      () => this.hosts.expireSuspicion(host, statusSince),
    );
  }

  private runRound(): void {
    const now = this.timeline.read();
    if (now - this.lastRoundAt > PAUSED_AFTER_MS) this.detector.cancelProbes();
    this.lastRoundAt = now;
    const step = ROUNDS_PER_PROBE[this.hosts.isLarge ? "large" : "small"];
    const rounds = step - this.round % step;
    this.round += rounds;
    this.stopRounds = this.timeline.after(
      rounds * ROUND_INTERVAL_MS,
      () => this.runRound(),
    );
    this.self.startRound();
    this.hosts.removeExpired(now);
    this.fleet.record(now);
    this.livenessLogger.logChanges(now);
    this.gossipToTargets();
  }

  private gossipToTargets(): void {
    const now = this.timeline.read();
    const { isLarge } = this.hosts;
    if (this.self.updatePhase()) this.rumours.add(this.self.name);
    const prefixUpdates = isLarge ? [] : this.options.takePrefixUpdates();
    const isRelaying = this.round <= ROUNDS_PER_RELAY ||
      this.round % ROUNDS_PER_RELAY === 0;
    const { live, reconnects } = this.targets.choose(this.round, now);
    for (const address of live) {
      if (isLarge) this.detector.probe(address);
      else {
        const relayedHosts = isRelaying
          ? this.composer.selectRelayedHosts(address)
          : [];
        this.sendMessage(address, { prefixUpdates, relayedHosts });
      }
    }
    for (const peer of reconnects) this.sendMessage(peer, { prefixUpdates });
    if (!isLarge && this.options.hasPrefixUpdates()) this.announce();
  }

  /** Sends a host the entries of other hosts.
   * @param address Gossip address of the receiver.
   * @param names Hashes of the other hosts' gossip addresses. */
  private sendEntries(address: string, names: readonly number[]): void {
    const relayedHosts = names.slice(0, MAX_RELAYED_ENTRIES).flatMap((name) =>
      this.hosts.findByName(name) ?? []
    );
    this.sendMessage(address, { relayedHosts });
  }

  private sendMessage(address: string, content: GossipContent): void {
    const message = this.composer.compose(address, content);
    this.options.socket.send(address, { type: "gossip", message });
  }
}
