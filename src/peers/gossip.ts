import {
  processTimeline,
  type StopTimer,
  type Timeline,
} from "../clock/timeline.ts";
import type { Logger } from "../logging/logger.ts";
import { Random } from "../random/random.ts";
import type { PrefixFact } from "../upstreams/prefix_index.ts";
import type { DatagramPort } from "./datagram_socket.ts";
import type { GossipMessage, PeerEntry } from "./gossip_schema.ts";
import { HostTable, type KnownHost, SMALL_FLEET } from "./host_table.ts";

/** Interval at which a host tells of itself, in milliseconds; loads known to others are late by about as much. */
const ROUND_MS = 200;
/** Time in which news is gathered before it is told ahead of the next round, in milliseconds. */
const ANNOUNCE_DELAY_MS = 15;
/** Rounds between two in which a host of a large fleet tells others, 0.6 seconds; in a small one it does in each. Telling
 * and being told is most of what an idle host of a large fleet spends. */
const ROUNDS_PER_TELLING = 3;
/** Hosts of the own hall told each time in a large fleet; in a small one all hosts are told. */
const OWN_HALL_FANOUT = 2;
/** Hosts of other halls told each time in a large fleet; bytes between halls are dear. */
const OTHER_HALLS_FANOUT = 1;
/** Silent hosts tried at a time. */
const MAX_ATTEMPTS = 10;
/** Entries of other hosts in one datagram, so that it fits into one packet. */
const RELAYED_ENTRIES = 10;
/** Most entries of other hosts that a host which has just started is told at once. */
const MAX_JOIN_ENTRIES = 60;
/** Rounds between two in which other hosts are told, where all hosts hear each other directly. */
const ROUNDS_PER_RELAY = 10;
/** Rounds between two attempts to reach hosts that are not heard, and the seeds: 0.8 and 1.2 seconds, in a large fleet with
 * every other telling. */
const ROUNDS_PER_ATTEMPT = { small: 4, large: 6 } as const;
/** Rounds after a start in which hosts not heard are tried each time, for all hosts may be starting: two seconds. */
const STARTING_ROUNDS = 10;
/** Greatest number that is drawn for a start of a host. */
const MAX_INCARNATION = 0x3fffffff;

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
  private readonly incarnation: number;
  private readonly stopRounds: StopTimer;
  private stopAnnouncement: StopTimer | undefined;
  private sequence = 0;
  private round = 0;
  private isLarge = false;
  /** Ids of the hosts that were heard in the last round. */
  private readonly liveBefore = new Set<string>();

  private constructor(private readonly options: GossipOptions) {
    this.timeline = options.timeline ?? processTimeline;
    this.random = options.random ?? Random.create();
    this.incarnation = this.random.integer(1, MAX_INCARNATION);
    this.hosts = HostTable.create(options.address);
    options.socket.handle("gossip", ({ message }) => this.receive(message));
    this.stopRounds = this.timeline.every(ROUND_MS, () => this.runRound());
  }

  /** Starts the rounds.
   * @param options What gossip needs. */
  static create(options: GossipOptions): Gossip {
    const gossip = new Gossip(options);
    gossip.runRound();
    return gossip;
  }

  /** Whether there are too many hosts for each to tell all others in every round; counted once a round, for it is asked
   * with each entry that is told. */
  get isLargeFleet(): boolean {
    return this.isLarge;
  }

  /** Tells hosts soon, rather than with the next round; what comes up meanwhile is told along. */
  announce(): void {
    this.stopAnnouncement ??= this.timeline.after(ANNOUNCE_DELAY_MS, () => {
      this.stopAnnouncement = undefined;
      this.tellChosen();
    });
  }

  /** Tells a host what others tell of themselves.
   * @param address The host.
   * @param names Short names of the others. */
  tellEntries(address: string, names: readonly number[]): void {
    const hosts = this.hosts.getByNames(names).slice(0, RELAYED_ENTRIES);
    this.tell(address, this.describeSelf(), [], hosts);
  }

  /** Tells a host that has just started of the hosts that are heard. By the usual rounds alone it would learn of the last ones
   * after many seconds in a large fleet. */
  private tellNewcomer(address: string): void {
    const live = this.hosts.getLive(this.timeline.read());
    const told = this.random.shuffle(live).slice(0, MAX_JOIN_ENTRIES);
    for (let begin = 0; begin < told.length; begin += RELAYED_ENTRIES) {
      const some = told.slice(begin, begin + RELAYED_ENTRIES);
      this.tell(address, this.describeSelf(), [], some);
    }
  }

  /** Stops the rounds. */
  close(): void {
    this.stopRounds();
    this.stopAnnouncement?.();
  }

  private runRound(): void {
    const now = this.timeline.read();
    this.round += 1;
    this.sequence += 1;
    this.hosts.forget(now);
    this.isLarge = this.hosts.getLive(now).length > SMALL_FLEET;
    this.logChanges(now);
    const isDue = this.round % ROUNDS_PER_TELLING === 0;
    if (isDue || !this.isLarge) this.tellChosen();
  }

  private tellChosen(): void {
    const now = this.timeline.read();
    const sender = this.describeSelf();
    const facts = this.isLarge ? [] : this.options.takeFacts();
    for (const address of this.chooseTargets(now)) {
      this.tell(address, sender, facts, this.chooseRelayed(address, now));
    }
    if (!this.isLarge && this.options.hasFacts()) this.announce();
  }

  private chooseTargets(now: number): string[] {
    const chosen = this.chooseLive(now);
    const isStarting = this.round <= STARTING_ROUNDS;
    const interval = ROUNDS_PER_ATTEMPT[this.isLarge ? "large" : "small"];
    if (!isStarting && this.round % interval !== 0) return chosen;
    const silent = this.hosts.getAll().filter((host) =>
      !this.hosts.isLive(host, now)
    ).map((host) => host.entry.gossipAddress);
    const seeds = this.options.getSeeds().filter((seed) =>
      seed !== this.options.address
    );
    const attempts = this.random.shuffle(silent).slice(0, MAX_ATTEMPTS);
    return [...new Set([...chosen, ...attempts, ...seeds])];
  }

  /** The hosts heard that are told in a round. */
  private chooseLive(now: number): string[] {
    const live = this.random.shuffle(this.hosts.getLive(now));
    const { hall } = this.options;
    const isNear = (host: KnownHost) => host.entry.hall === hall;
    const near = live.filter(isNear);
    const far = live.filter((host) => !isNear(host));
    const chosen = live.length <= SMALL_FLEET ? live : [
      ...near.slice(0, OWN_HALL_FANOUT),
      ...far.slice(0, OTHER_HALLS_FANOUT),
    ];
    return chosen.map((host) => host.entry.gossipAddress);
  }

  private tell(
    address: string,
    sender: PeerEntry,
    facts: readonly PrefixFact[],
    others: readonly KnownHost[],
  ): void {
    const now = this.timeline.read();
    const message: GossipMessage = {
      sender,
      sentAt: now,
      echo: this.hosts.getHost(address)?.lastSentAt,
      facts: [...facts],
      others: others.map(({ entry, heardAt }) => ({
        entry,
        agoMs: now - heardAt,
      })),
    };
    this.options.socket.send(address, { type: "gossip", message });
  }

  private describeSelf(): PeerEntry {
    return {
      ...this.options.describeSelf(),
      incarnation: this.incarnation,
      sequence: this.sequence,
    };
  }

  /** Other hosts for a receiver: half of them those heard last, whose word is news to most, half any others. */
  private chooseRelayed(address: string, now: number): KnownHost[] {
    const live = this.hosts.getLive(now).filter((host) =>
      host.entry.gossipAddress !== address
    );
    const isDue = this.round <= ROUNDS_PER_RELAY ||
      this.round % ROUNDS_PER_RELAY === 0;
    if (live.length < SMALL_FLEET && !isDue) return [];
    live.sort((a, b) => b.heardAt - a.heardAt);
    const newest = live.splice(0, RELAYED_ENTRIES / 2);
    const any = this.random.shuffle(live);
    return [...newest, ...any].slice(0, RELAYED_ENTRIES);
  }

  private receive(message: GossipMessage): void {
    const now = this.timeline.read();
    const { sender, sentAt, echo, facts, others } = message;
    if (facts.length > 0) this.options.onFacts(facts);
    if (this.isLarge && this.isNewcomer(message)) {
      this.tellNewcomer(sender.gossipAddress);
    }
    if (this.hosts.hear(sender, sentAt, now)) {
      const isOwnClock = echo !== undefined && echo <= now;
      this.options.onEntry(sender, now, isOwnClock ? echo : undefined);
    }
    for (const { entry, agoMs } of others) {
      const heardAt = now - Math.max(0, agoMs);
      if (this.hosts.hearOf(entry, heardAt)) {
        this.options.onEntry(entry, heardAt);
      }
    }
  }

  /** Whether the sender was not heard since its start, and has few others to tell of. */
  private isNewcomer({ sender, others }: GossipMessage): boolean {
    const known = this.hosts.getHost(sender.gossipAddress);
    return known?.entry.incarnation !== sender.incarnation &&
      others.length < RELAYED_ENTRIES;
  }

  private logChanges(now: number): void {
    for (const host of this.hosts.getAll()) this.logChange(host, now);
  }

  private logChange(host: KnownHost, now: number): void {
    const { id, phase } = host.entry;
    const isLive = this.hosts.isLive(host, now);
    if (isLive === this.liveBefore.has(id)) return;
    if (isLive) this.liveBefore.add(id);
    else this.liveBefore.delete(id);
    const silentMs = Math.round(now - host.heardAt);
    this.options.logger.info(
      { peer: id, phase, silentMs },
      isLive ? "host_heard" : "host_lost",
    );
  }
}
