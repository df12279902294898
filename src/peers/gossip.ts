import {
  processTimeline,
  type StopTimer,
  type Timeline,
} from "../clock/timeline.ts";
import type { Logger } from "../logging/logger.ts";
import { Random } from "../random/random.ts";
import type { PrefixFact } from "../upstreams/prefix_index.ts";
import type { DatagramPort } from "./datagram_socket.ts";
import { FailureDetector } from "./failure_detector.ts";
import { FleetTargets } from "./gossip_targets.ts";
import {
  GossipComposer,
  type GossipContent,
  RELAYED_ENTRIES,
} from "./gossip_composer.ts";
import type { GossipMessage, PeerEntry } from "./gossip_schema.ts";
import { HostPull, type ReadHosts } from "./host_pull.ts";
import { HostTable, SUSPICION_MS } from "./host_table.ts";
import type { HostState, KnownHost } from "./known_host.ts";
import { LiveLog } from "./liveness_logger.ts";
import { RumourReceiver } from "./rumour_receiver.ts";
import { RumourSpread } from "./rumour_disseminator.ts";
import { SelfDescription } from "./local_host_state.ts";

/** Interval at which a host tells of itself, in milliseconds; loads known to others are late by about as much. */
const ROUND_MS = 200;
/** Time in which news is gathered before it is told ahead of the next round, in milliseconds. */
const ANNOUNCE_DELAY_MS = 15;
/** Rounds between two in which a host of a large fleet tells others, 0.6 seconds; in a small one it does in each. Telling
 * and being told is most of what an idle host of a large fleet spends. */
const ROUNDS_PER_TELLING = 3;
/** Rounds between two in which other hosts are told, where all hosts hear each other directly. */
const ROUNDS_PER_RELAY = 10;
/** Time between two rounds from which this process did not run meanwhile, in milliseconds. */
const PAUSED_AFTER_MS = 1_000;

/** What gossip needs and whom it tells. */
export interface GossipOptions {
  logger: Logger;
  socket: DatagramPort;
  /** Gossip address of this host, as ip:port. */
  address: string;
  /** Hall of this host; in a large fleet its hosts are told most. */
  hall: string;
  /** Gossip addresses of hosts to begin with; read anew each time. */
  getSeeds: () => readonly string[];
  /** What this host tells of itself, but for the fields that gossip itself fills in. */
  describeSelf: () => Omit<PeerEntry, "incarnation" | "sequence">;
  /** Facts about prompts to tell in a round of a small fleet; each is given once. */
  takeFacts: () => PrefixFact[];
  /** Whether facts are left to tell. */
  hasFacts: () => boolean;
  /** Told of another host's facts about prompts. */
  onFacts: (facts: readonly PrefixFact[]) => void;
  /** Told of each host's word; `askedAt` is this host's clock after which the host composed it, where that is known. */
  onEntry: (entry: PeerEntry, heardAt: number, askedAt?: number) => void;
  /** Reads all hosts that another knows. */
  readHosts: ReadHosts;
  /** Greater than that of any earlier start of this host, as far as its clock can tell; the time of day by default. */
  firstIncarnation?: number;
  /** The process's by default. */
  timeline?: Timeline;
  /** Unseeded by default. */
  random?: Random;
}

/** The task by which hosts find each other and tell each other how they are. */
export class Gossip {
  /** The other hosts. */
  readonly hosts: HostTable;
  private readonly timeline: Timeline;
  private readonly random: Random;
  private readonly self: SelfDescription;
  private readonly targets: FleetTargets;
  private readonly detector: FailureDetector;
  private readonly pull: HostPull;
  private readonly rumours: RumourSpread;
  private readonly receiver: RumourReceiver;
  private readonly composer: GossipComposer;
  private readonly log: LiveLog;
  private readonly stopRounds: StopTimer;
  private stopAnnouncement: StopTimer | undefined;
  private round = 0;
  private ranAt: number;

  private constructor(private readonly options: GossipOptions) {
    const { address, hall, socket, getSeeds } = options;
    this.timeline = options.timeline ?? processTimeline;
    this.random = options.random ?? Random.create();
    this.ranAt = this.timeline.read();
    this.self = SelfDescription.create(
      address,
      options.firstIncarnation ?? Date.now(),
      options.describeSelf,
    );
    this.hosts = HostTable.create(address, (host) => this.takeBelief(host));
    const { hosts, random } = this;
    this.targets = FleetTargets.create({
      hosts,
      random,
      address,
      hall,
      getSeeds,
    });
    this.rumours = RumourSpread.create({
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
      spread: this.rumours,
      timeline: this.timeline,
    });
    this.composer = GossipComposer.create({
      hosts,
      self: this.self,
      rumours: this.rumours,
      timeline: this.timeline,
      random,
    });
    this.log = LiveLog.create(hosts, options.logger);
    this.detector = this.createDetector();
    this.pull = HostPull.create(options.readHosts, (states) => {
      const now = this.timeline.read();
      for (const { entry, heardAt } of this.hosts.mergeStates(states, now)) {
        options.onEntry(entry, heardAt);
      }
    });
    socket.handle("gossip", ({ message }) => this.receive(message));
    socket.handle(
      "host_question",
      ({ names }, sender) => this.tellEntries(sender, names),
    );
    this.stopRounds = this.timeline.every(ROUND_MS, () => this.runRound());
  }

  /** Starts the rounds.
   * @param options What gossip needs. */
  static create(options: GossipOptions): Gossip {
    const gossip = new Gossip(options);
    gossip.runRound();
    return gossip;
  }

  /** Whether there are too many hosts for each to tell all others in every round. */
  get isLargeFleet(): boolean {
    return this.hosts.isLarge;
  }

  /** All known hosts, this one included, for another that lacks some. */
  getHostStates(): HostState[] {
    const own = {
      entry: this.self.getEntry(),
      status: "alive",
      agoMs: 0,
    } as const;
    return [own, ...this.hosts.getStates(this.timeline.read())];
  }

  /** Tells hosts soon, rather than with the next round; what comes up meanwhile is told along. */
  announce(): void {
    this.stopAnnouncement ??= this.timeline.after(ANNOUNCE_DELAY_MS, () => {
      this.stopAnnouncement = undefined;
      this.tellChosen();
    });
  }

  /** Stops the rounds. */
  close(): void {
    this.stopRounds();
    this.stopAnnouncement?.();
    this.rumours.close();
    this.detector.close();
  }

  private createDetector(): FailureDetector {
    const { options: { logger, socket }, hosts, timeline, random } = this;
    return FailureDetector.create({
      logger,
      socket,
      hosts,
      timeline,
      random,
      sendProbe: (address, number) => this.tell(address, { probe: number }),
      spread: this.rumours,
      receiver: this.receiver,
    });
  }

  /** Queues a changed belief for dissemination and schedules the expiry of a suspicion. Failures wait for the next round, since
   * every host that knows of the suspicion expires it at the same time. */
  private takeBelief(host: KnownHost): void {
    const { name, status, statusSince } = host;
    this.rumours.add(name);
    if (status !== "failed") this.rumours.hurry();
    if (status !== "suspect") return;
    const leftMs = statusSince + SUSPICION_MS - this.timeline.read();
    this.timeline.after(
      Math.max(0, leftMs),
      () => this.hosts.expireSuspicion(host, statusSince),
    );
  }

  private runRound(): void {
    const now = this.timeline.read();
    if (now - this.ranAt > PAUSED_AFTER_MS) this.detector.forgetProbes();
    this.ranAt = now;
    this.round += 1;
    this.self.startRound();
    const { isLarge } = this.hosts;
    if (isLarge && this.round % ROUNDS_PER_TELLING !== 0) return;
    this.hosts.forget(now);
    this.log.update(now);
    this.tellChosen();
  }

  private tellChosen(): void {
    const now = this.timeline.read();
    const { isLarge } = this.hosts;
    if (this.self.updatePhase()) this.rumours.add(this.self.name);
    const facts = isLarge ? [] : this.options.takeFacts();
    const isRelaying = this.round <= ROUNDS_PER_RELAY ||
      this.round % ROUNDS_PER_RELAY === 0;
    const { live, attempted } = this.targets.choose(this.round, now);
    for (const address of live) {
      if (isLarge) this.detector.probe(address);
      else {
        const others = isRelaying ? this.composer.chooseRelayed(address) : [];
        this.tell(address, { facts, others });
      }
    }
    for (const address of attempted) this.tell(address, { facts });
    if (!isLarge && this.options.hasFacts()) this.announce();
  }

  /** Tells a host what others tell of themselves.
   * @param address The host.
   * @param names Short names of the others. */
  private tellEntries(address: string, names: readonly number[]): void {
    const others = names.slice(0, RELAYED_ENTRIES).flatMap((name) =>
      this.hosts.findByName(name) ?? []
    );
    this.tell(address, { others });
  }

  private tell(address: string, content: GossipContent): void {
    const message = this.composer.compose(address, content);
    this.options.socket.send(address, { type: "gossip", message });
  }

  private receive(message: GossipMessage): void {
    const now = this.timeline.read();
    const { sender, sentAt, echo, facts } = message;
    const address = sender.gossipAddress;
    if (facts.length > 0) this.options.onFacts(facts);
    const before = this.hosts.getHost(address)?.entry.incarnation;
    if (this.hosts.hear(sender, sentAt, now)) {
      const isOwnClock = echo !== undefined && echo <= now;
      this.options.onEntry(sender, now, isOwnClock ? echo : undefined);
    }
    this.hearOthers(message, now);
    this.receiver.take(message.rumours, address);
    if (message.probe > 0) {
      this.detector.answer(address, message.probe, this.options.address);
    }
    const isNew = this.hosts.isLarge && before !== sender.incarnation;
    if (isNew || this.isAheadOf(sender)) this.tell(address, {});
    this.correct(sender, now);
    this.compareDigests(message, now);
  }

  /** Whether this host knows what is published while another knows nothing. */
  private isAheadOf({ publicationAgeMs }: PeerEntry): boolean {
    return publicationAgeMs < 0 &&
      this.self.getEntry().publicationAgeMs >= 0;
  }

  private hearOthers({ others, reports }: GossipMessage, now: number): void {
    for (const { entry, agoMs } of others) {
      const heardAt = now - Math.max(0, agoMs);
      if (this.hosts.hearOf(entry, heardAt)) {
        this.options.onEntry(entry, heardAt);
      }
    }
    for (const report of reports) {
      const host = this.hosts.hearReport(report, now);
      if (host) this.options.onEntry(host.entry, host.heardAt);
    }
  }

  /** Tells a host what is wrongly believed of it, so that it refutes that. */
  private correct(
    { gossipAddress, incarnation }: PeerEntry,
    now: number,
  ): void {
    const known = this.hosts.getHost(gossipAddress);
    if (!known) return;
    const isBelieved = known.entry.incarnation === incarnation &&
      (known.status === "alive" || !this.hosts.isLarge);
    if (isBelieved) return;
    this.rumours.send(gossipAddress, [this.hosts.describe(known, now)]);
  }

  private compareDigests(message: GossipMessage, now: number): void {
    const { sender, hostsDigest } = message;
    if (hostsDigest === 0) return;
    if (hostsDigest === this.composer.computeDigest()) {
      return this.pull.noteEqual();
    }
    const isStarting = FleetTargets.isStarting(this.round);
    this.pull.noteDifferent(sender, isStarting, now);
  }
}
