import { readClock } from "../clock/clock.ts";
import type { CrashGuard } from "../crashes/crash_guard.ts";
import type { Logger } from "../logging/logger.ts";
import { AgeQuestions } from "../peers/age_questions.ts";
import { CrashGossip } from "../crashes/crash_gossip.ts";
import { DatagramSocket } from "../peers/datagram_socket.ts";
import { Gossip } from "../peers/gossip.ts";
import type { PeerEntry } from "../peers/gossip_schema.ts";
import type { KnownHost } from "../peers/known_host.ts";
import { PrefixDirectory } from "../peers/prefix_directory.ts";
import type { PublicationWord } from "../peers/publication_word.ts";
import type { PublicationKeeper } from "../published/publication_keeper.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { HostExchange } from "./host_exchange.ts";
import type { PublicationExchange } from "./publication_exchange.ts";
import { recordPeerLoads } from "./record_told_loads.ts";
import type { UpstreamChooser } from "./upstream_chooser.ts";

/** What the link needs of the gateway. */
export interface PeerNetworkOptions {
  logger: Logger;
  /** The settings in force; the address to listen on is read once. */
  getSettings: () => GatewaySettings;
  published: PublicationKeeper;
  chooser: UpstreamChooser;
  publicationExchange: PublicationExchange;
  metrics: GatewayMetrics;
  guard: CrashGuard;
  /** What this host is doing. */
  getPhase: () => PeerEntry["phase"];
  /** Ids of the hosts to ask how old what they know of the publication is. */
  getSourceIds: () => readonly string[];
}

/** What this host and the others tell and ask each other by datagrams. In a small fleet every host hears all others in
 * each round; in a large one hosts hear few at a time, and ask those that know. */
export class PeerNetwork {
  /** Tells other hosts all hosts that are known here. */
  readonly hostExchange: HostExchange;
  private readonly gossip: Gossip;
  private readonly ageQueries: AgeQuestions;
  private readonly directory: PrefixDirectory;
  private readonly crashGossip: CrashGossip;

  private constructor(
    private readonly options: PeerNetworkOptions,
    private readonly socket: DatagramSocket,
  ) {
    const { gossipAddress } = options.getSettings();
    this.hostExchange = HostExchange.create(
      options.logger,
      () => this.gossip.getHostStates(),
    );
    this.gossip = this.createGossip(gossipAddress);
    this.ageQueries = AgeQuestions.create({
      socket,
      getSources: () => this.getGossipAddresses(options.getSourceIds()),
      getWord: () => this.getPublicationSummary(),
      onWord: (sender, word, askedAt) => {
        const host = this.gossip.hosts.getHost(sender);
        if (host) this.reconcilePublication(host.entry, word, askedAt);
      },
    });
    this.directory = PrefixDirectory.create({
      socket,
      prefixes: options.chooser.prefixes,
      ownAddress: gossipAddress,
      getHosts: () => this.getNonDrainingAddresses(),
    });
    this.crashGossip = this.createCrashGossip();
  }

  /** Opens the link.
   * @param options What it needs.
   * @throws The system's error where its address can't be listened on. */
  static async create(options: PeerNetworkOptions): Promise<PeerNetwork> {
    const { logger, metrics, getSettings } = options;
    const { gossipAddress } = getSettings();
    const socket = await DatagramSocket.create(
      gossipAddress,
      logger,
      (direction, bytes) => metrics.recordDatagram(direction, bytes),
    );
    return new PeerNetwork(options, socket);
  }

  /** The other hosts that are heard. */
  getLiveHosts(): readonly KnownHost[] {
    return this.gossip.hosts.getLive(readClock());
  }

  /** Hosts that may share a budget of the fleet, this one too: all that are remembered, for those that are lost here may live
   * elsewhere. */
  countBudgetHosts(): number {
    return 1 + this.gossip.hosts.size;
  }

  /** Tells other hosts soon how this one is. */
  announce(): void {
    this.gossip.announce();
  }

  /** Tells other hosts soon which requests were under way on upstreams that crashed. */
  announceCrashes(): void {
    this.crashGossip.announce();
  }

  /** Tells other hosts soon which engines were sent which parts of prompts. */
  announcePrefixUpdates(): void {
    if (this.gossip.isLargeFleet) {
      this.directory.tell(this.options.chooser.prefixes.takeAllFacts());
    } else this.gossip.announce();
  }

  /** In a large fleet, finds out which engines keep a part that is not known of here; nothing where nobody is asked.
   * @param part Short name of the part. */
  lookUpPart(part: number): Promise<void> | undefined {
    return this.gossip.isLargeFleet ? this.directory.learn(part) : undefined;
  }

  /** Ends the link. */
  async close(): Promise<void> {
    this.gossip.close();
    this.ageQueries.close();
    this.directory.close();
    this.crashGossip.close();
    this.socket.close();
    await this.hostExchange.close();
  }

  private createGossip(address: string): Gossip {
    const { logger, getSettings, chooser } = this.options;
    const { prefixes } = chooser;
    return Gossip.create({
      logger,
      socket: this.socket,
      address,
      hall: getSettings().hall,
      getSeeds: () => getSettings().seedAddresses,
      describeSelf: () => this.describeSelf(),
      takeFacts: () => prefixes.takeFacts(),
      hasFacts: () => prefixes.hasUntold,
      onFacts: (facts) => prefixes.learn(facts, readClock()),
      onEntry: (entry, heardAt, askedAt) =>
        this.handleEntry(entry, heardAt, askedAt),
      readHosts: (host, done) => void this.hostExchange.fetch(host).then(done),
    });
  }

  private createCrashGossip(): CrashGossip {
    const { socket, options: { guard: { memory } } } = this;
    socket.handle(
      "crash_words",
      ({ words }) => memory.learn(words, readClock()),
    );
    return CrashGossip.create({
      memory,
      getHosts: () =>
        this.getLiveHosts().map(({ entry }) => entry.gossipAddress),
      send: (host, words) => socket.send(host, { type: "crash_words", words }),
    });
  }

  private getPublicationSummary(): PublicationWord {
    const { ageMs, digest, revision } = this.options.published;
    const publicationAgeMs = Number.isFinite(ageMs) ? ageMs : -1;
    return { digest, revision, publicationAgeMs };
  }

  private describeSelf(): Omit<PeerEntry, "incarnation" | "sequence"> {
    const { getSettings, chooser, getPhase } = this.options;
    const { id, gossipAddress, peerAddress, callerAddress, hall } =
      getSettings();
    return {
      id,
      gossipAddress,
      peerAddress,
      callerAddress,
      hall,
      phase: getPhase(),
      ...this.getPublicationSummary(),
      loads: chooser.loads.getOwn(chooser.upstreams.getAll()),
    };
  }

  private handleEntry(
    entry: PeerEntry,
    heardAt: number,
    askedAt?: number,
  ): void {
    const { loads } = this.options.chooser;
    recordPeerLoads(loads, entry, heardAt, this.gossip.isLargeFleet);
    if (askedAt !== undefined) this.reconcilePublication(entry, entry, askedAt);
  }

  /** Takes what another host says of the publication: where it knows the same, what it knows is as new here as there,
   * and where it knows more it is asked for that. */
  private reconcilePublication(
    host: PeerEntry,
    word: PublicationWord,
    askedAt: number,
  ): void {
    const { published: keeper, publicationExchange } = this.options;
    const { digest, revision, publicationAgeMs } = word;
    if (publicationAgeMs < 0) return;
    if (digest === keeper.digest) {
      keeper.takeConfirmation(digest, askedAt - publicationAgeMs);
      return;
    }
    const isFresher = publicationAgeMs < keeper.ageMs ||
      revision > keeper.revision;
    if (isFresher) void publicationExchange.fetch(host.id, host.peerAddress);
  }

  /** Gossip addresses of hosts to ask; none in a small fleet, where each datagram tells what they would answer. */
  private getGossipAddresses(ids: readonly string[]): string[] {
    if (!this.gossip.isLargeFleet) return [];
    const addresses = new Map(
      this.getLiveHosts().map(({ entry }) => [entry.id, entry.gossipAddress]),
    );
    return ids.flatMap((id) => addresses.get(id) ?? []);
  }

  private getNonDrainingAddresses(): string[] {
    return this.getLiveHosts().filter(({ entry }) => entry.phase !== "draining")
      .map(({ entry }) => entry.gossipAddress);
  }
}
