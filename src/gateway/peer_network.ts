import { splitAddress } from "../addresses/split_address.ts";
import { readClock } from "../clock/clock.ts";
import { processTimeline } from "../clock/timeline.ts";
import type { CrashGuard } from "../crashes/crash_guard.ts";
import type { Logger } from "../logging/logger.ts";
import { PublicationStatusPoller } from "../peers/publication_status_poller.ts";
import { DatagramSocket } from "../peers/datagram_socket.ts";
import { Gossip } from "../peers/gossip.ts";
import type { PeerEntry } from "../peers/gossip_schema.ts";
import { HostRing } from "../peers/host_ring.ts";
import type { KnownHost } from "../peers/known_host.ts";
import { PrefixDirectory } from "../peers/prefix_directory.ts";
import { takesRequests } from "../peers/host_phase.ts";
import type { PathMonitor } from "../paths/path_monitor.ts";
import type { RelayHost } from "../paths/relay_host.ts";
import type { PublicationReplica } from "../published/publication_replica.ts";
import type { StreamDirectory } from "../streams/stream_directory.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { getLateAgeMs } from "../published/publication_timing.ts";
import { type GatewaySettings, getApplyWithinMs } from "./gateway_settings.ts";
import { CrashExchange } from "./crash_exchange.ts";
import { createStreamDirectory } from "./create_stream_directory.ts";
import { HostExchange } from "./host_exchange.ts";
import { OutageExchange } from "./outage_exchange.ts";
import type { PublicationExchange } from "./publication_exchange.ts";
import { PublicationReconciler } from "./publication_reconciler.ts";
import { recordPeerLoads } from "./record_peer_loads.ts";
import {
  SLOT_MESSAGE_TYPES,
  type SlotMessage,
} from "../upstreams/slot_message.ts";
import type { UpstreamChooser } from "./upstream_chooser.ts";

/** Dependencies of a {@link PeerNetwork}. */
export interface PeerNetworkOptions {
  logger: Logger;
  /** Returns the current settings; the gossip address, and the hall for the choice of gossip partners, are read
   * once. */
  getSettings: () => GatewaySettings;
  replica: PublicationReplica;
  chooser: UpstreamChooser;
  publicationExchange: PublicationExchange;
  metrics: GatewayMetrics;
  guard: CrashGuard;
  paths: PathMonitor;
  /** Returns the lifecycle phase of this host. */
  getPhase: () => PeerEntry["phase"];
  /** Returns the ids of the hosts from which this one learns of changes. */
  getSourceIds: () => readonly string[];
  /** Returns the ids of the hosts to query while the publication is late. */
  getLateSourceIds: () => readonly string[];
}

/** The communication between the hosts of the fleet, over datagrams. In a small fleet every host receives the state of
 * all others in each gossip round. In a large fleet a host hears from few others per round, and queries those that know
 * more. */
export class PeerNetwork {
  /** Exchanges reports of upstreams to which hosts could not connect. */
  readonly outages: OutageExchange;
  /** Exchanges what is known of crashed upstreams. */
  readonly crashes: CrashExchange;
  /** Where the streams of the fleet began. */
  readonly streams: StreamDirectory;
  /** Serves the list of all known hosts to other hosts, and fetches theirs. */
  readonly hostExchange: HostExchange;
  private readonly reconciler: PublicationReconciler;
  private readonly gossip: Gossip;
  private readonly statusPoller: PublicationStatusPoller;
  private readonly directory: PrefixDirectory;

  private constructor(
    private readonly options: PeerNetworkOptions,
    private readonly socket: DatagramSocket,
  ) {
    const { gossipAddress } = options.getSettings();
    this.reconciler = PublicationReconciler.create({
      ...options,
      lateAgeMs: getLateAgeMs(getApplyWithinMs(options.getSettings())),
      isSource: (hostId) =>
        !this.gossip.isLargeFleet || options.getSourceIds().includes(hostId),
    });
    this.hostExchange = HostExchange.create(
      options.logger,
      () => this.gossip.getHostStates(),
    );
    this.gossip = this.createGossip(gossipAddress);
    this.statusPoller = PublicationStatusPoller.create({
      socket,
      getSources: () => this.getStatusSources(),
      isLate: () => this.reconciler.isLate,
      getStatus: () => this.reconciler.getStatus(),
      onStatus: (sender, status, requestedAt) => {
        const host = this.gossip.hosts.getHost(sender);
        if (host) this.reconciler.reconcile(host.entry, status, requestedAt);
      },
    });
    this.directory = PrefixDirectory.create({
      socket,
      prefixes: options.chooser.prefixes,
      ring: this.createRing((phase) => phase !== "draining"),
    });
    this.streams = createStreamDirectory({
      socket,
      ring: this.createRing(() => true),
      replica: options.replica,
      versions: options.chooser.upstreams.versions,
      knowsFleet: () => this.knowsFleet,
      getRetainedFraction: (withinMs) => this.getRetainedFraction(withinMs),
    });
    this.crashes = CrashExchange.create({
      socket,
      guard: options.guard,
      ring: this.createRing(takesRequests),
      getHosts: () => this.getLiveAddresses(),
    });
    this.outages = this.createOutageExchange(gossipAddress);
    this.handleSlotMessages();
  }

  /** Opens the socket and starts the communication.
   * @param options Its dependencies.
   * @throws The system's error if it can't listen on the gossip address. */
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

  /** Returns the other live hosts. */
  getLiveHosts(): readonly KnownHost[] {
    return this.gossip.hosts.getLive(readClock());
  }

  /** Returns the other live hosts that may relay connections to upstreams. */
  getRelays(): RelayHost[] {
    return this.getLiveHosts().filter(({ entry: { phase } }) =>
      takesRequests(phase)
    ).map(({ name, entry: { id, peerAddress, hall, phase } }) => (
      { id, name, peerAddress, hall, isPartitioned: phase === "partitioned" }
    ));
  }

  /** Whether an IP address belongs to a known host of the fleet.
   * @param ip The IP address. */
  isKnownAddress(ip: string): boolean {
    return this.gossip.hosts.getAll().some(({ entry }) =>
      splitAddress(entry.peerAddress).host === ip
    );
  }

  /** Number of hosts that may share a fleet-wide budget, including this one; undefined while it is not known. */
  get fleetSize(): number | undefined {
    return this.gossip.fleetSize;
  }

  /** Returns the part of the known hosts, including this one, that has not been lost within a time.
   * @param withinMs The time, in milliseconds. */
  getRetainedFraction(withinMs: number): number {
    return this.gossip.getRetainedFraction(withinMs);
  }

  /** Returns the ids of all other known hosts, including unreachable ones. */
  getKnownHostIds(): string[] {
    return this.gossip.hosts.getAll().map(({ entry }) => entry.id);
  }

  /** Returns the gossip address of another known host; undefined if the host is not known.
   * @param hostId Id of the host. */
  getGossipAddress(hostId: string): string | undefined {
    return this.gossip.hosts.getAll().find(({ entry }) => entry.id === hostId)
      ?.entry.gossipAddress;
  }

  /** Sends a message about lent slots to another host.
   * @param address Gossip address of the host.
   * @param message The message. */
  sendSlotMessage(address: string, message: SlotMessage): void {
    this.socket.send(address, message);
  }

  /** Whether the known hosts are likely all hosts of the fleet. */
  get knowsFleet(): boolean {
    return this.gossip.knowsFleet;
  }

  /** Queries other hosts for their publication status at once. */
  updatePublication(): void {
    this.statusPoller.pollAll();
  }

  /** Announces this host's state to other hosts soon, ahead of the next gossip round. */
  announce(): void {
    this.gossip.announce();
  }

  /** Whether hosts look up cached prompt parts in a directory, because the fleet is too large for each host to know all
   * of them. */
  get usesDirectory(): boolean {
    return this.gossip.isLargeFleet;
  }

  /** Announces soon to other hosts which engines were sent which prompt parts. */
  announcePrefixUpdates(): void {
    if (this.usesDirectory) {
      this.directory.publish(this.options.chooser.prefixes.takeAllUpdates());
    } else this.gossip.announce();
  }

  /** In a large fleet, asks other hosts which engines have a prompt part cached if none is known here. Returns
   * undefined if no other host is asked.
   * @param part Hash of the part. */
  lookUpPart(part: number): Promise<void> | undefined {
    return this.usesDirectory ? this.directory.lookUp(part) : undefined;
  }

  /** Ends the communication and closes the socket. */
  async close(): Promise<void> {
    this.gossip.close();
    this.statusPoller.close();
    this.directory.close();
    this.streams.close();
    this.crashes.close();
    this.outages.close();
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
      takePrefixUpdates: () => prefixes.takeUpdates(),
      hasPrefixUpdates: () => prefixes.hasPendingUpdates,
      onPrefixUpdates: (updates) => prefixes.applyUpdates(updates, readClock()),
      onEntry: (entry, lastSeenAt, requestedAt) =>
        this.handleEntry(entry, lastSeenAt, requestedAt),
      readHosts: (host, done) => void this.hostExchange.fetch(host).then(done),
    });
  }

  private handleSlotMessages(): void {
    const { slotLoans } = this.options.chooser.candidates;
    for (const type of SLOT_MESSAGE_TYPES) {
      this.socket.handle(
        type,
        (message, sender) => slotLoans.handle(message, sender),
      );
    }
  }

  private createOutageExchange(gossipAddress: string): OutageExchange {
    const { chooser, paths } = this.options;
    return OutageExchange.create({
      socket: this.socket,
      gossipAddress,
      chooser,
      paths,
      getHosts: () => this.getLiveAddresses(),
    });
  }

  private getLiveAddresses(): string[] {
    return this.getLiveHosts().map(({ entry }) => entry.gossipAddress);
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
      ...this.reconciler.getStatus(),
      loads: chooser.loads.getOwnCounts(chooser.upstreams.getAll()),
      declineLimits: chooser.candidates.declineLimits.getStatements(
        readClock(),
      ),
      rooms: chooser.repeats.getStatements(),
    };
  }

  private handleEntry(
    entry: PeerEntry,
    lastSeenAt: number,
    requestedAt?: number,
  ): void {
    const { loads, candidates, repeats } = this.options.chooser;
    candidates.declineLimits.merge(entry.declineLimits, lastSeenAt);
    repeats.fleet.record(entry.id, entry.rooms, lastSeenAt);
    recordPeerLoads(loads, entry, lastSeenAt, this.gossip.isLargeFleet);
    if (entry.phase === "starting") this.crashes.informStarted(entry);
    if (requestedAt === undefined) return;
    this.reconciler.reconcile(entry, entry, requestedAt);
  }

  /** Returns the gossip addresses of the hosts to query for their publication status. In a small fleet every gossip
   * datagram carries the status, so that none is queried unless the publication is late. */
  private getStatusSources(): string[] {
    const { getSourceIds, getLateSourceIds } = this.options;
    if (this.reconciler.isLate) return this.toAddresses(getLateSourceIds());
    return this.gossip.isLargeFleet ? this.toAddresses(getSourceIds()) : [];
  }

  private toAddresses(ids: readonly string[]): string[] {
    const addresses = new Map(
      this.getLiveHosts().map(({ entry }) => [entry.id, entry.gossipAddress]),
    );
    return ids.flatMap((id) => addresses.get(id) ?? []);
  }

  /** Creates a ring of the live hosts in some phases. */
  private createRing(
    includes: (phase: PeerEntry["phase"]) => boolean,
  ): HostRing {
    const { gossipAddress, hall } = this.options.getSettings();
    return HostRing.create({
      own: { address: gossipAddress, hall },
      getHosts: () =>
        this.getLiveHosts().filter(({ entry }) => includes(entry.phase)).map((
          { entry },
        ) => ({ address: entry.gossipAddress, hall: entry.hall })),
      timeline: processTimeline,
    });
  }
}
