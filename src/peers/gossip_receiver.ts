import type { PrefixUpdate } from "../upstreams/prefix_index.ts";
import type { FailureDetector } from "./failure_detector.ts";
import type { GossipComposer } from "./gossip_composer.ts";
import type { GossipMessage, PeerEntry } from "./gossip_schema.ts";
import type { HostTablePull } from "./host_pull.ts";
import type { HostTable } from "./host_table.ts";
import type { LocalHostState } from "./local_host_state.ts";
import type { RumourDisseminator } from "./rumour_disseminator.ts";
import type { RumourReceiver } from "./rumour_receiver.ts";

/** Called with each new entry of a host and the time at which the host sent it, as far as is known. If given,
 * `requestedAt` is a time of this host's clock before which the entry was not composed. */
export type OnPeerEntry = (
  entry: PeerEntry,
  lastSeenAt: number,
  requestedAt?: number,
) => void;

/** Dependencies and callbacks of a {@link GossipReceiver}. */
export interface GossipReceiverOptions {
  /** Gossip address of this host, as ip:port. */
  address: string;
  hosts: HostTable;
  self: LocalHostState;
  composer: GossipComposer;
  rumours: RumourDisseminator;
  rumourReceiver: RumourReceiver;
  detector: FailureDetector;
  pull: HostTablePull;
  /** Whether this host has just started. */
  isStarting: () => boolean;
  /** Sends a host this host's entry. */
  reply: (address: string) => void;
  /** Called with the prefix updates of another host. */
  onPrefixUpdates: (updates: readonly PrefixUpdate[]) => void;
  onEntry: OnPeerEntry;
}

/** Applies received gossip messages to the host table, and responds to what they show the sender to lack. */
export class GossipReceiver {
  private constructor(private readonly options: GossipReceiverOptions) {}

  /** Creates a receiver.
   * @param options Its dependencies and callbacks. */
  static create(options: GossipReceiverOptions): GossipReceiver {
    return new GossipReceiver(options);
  }

  /** Applies a message and responds to its sender.
   * @param message The message.
   * @param now Monotonic milliseconds. */
  receive(message: GossipMessage, now: number): void {
    const { hosts, detector, rumourReceiver, reply } = this.options;
    const { sender, probeNonce, rumours } = message;
    const address = sender.gossipAddress;
    const knownIncarnation = hosts.getHost(address)?.entry.incarnation;
    this.applySender(message, now);
    this.applyRelayedState(message, now);
    rumourReceiver.apply(rumours, address);
    if (probeNonce > 0) {
      detector.acknowledge(address, probeNonce, this.options.address);
    }
    const isNew = hosts.isLarge && knownIncarnation !== sender.incarnation;
    if (isNew || this.lacksPublication(sender)) reply(address);
    this.sendCorrection(sender, now);
    this.compareDigests(message, now);
  }

  private applySender(message: GossipMessage, now: number): void {
    const { hosts, onPrefixUpdates, onEntry } = this.options;
    const { sender, sentAt, echo, prefixUpdates } = message;
    if (prefixUpdates.length > 0) onPrefixUpdates(prefixUpdates);
    if (!hosts.applyDirectEntry(sender, sentAt, now)) return;
    const isValidEcho = echo !== undefined && echo <= now;
    onEntry(sender, now, isValidEcho ? echo : undefined);
  }

  private applyRelayedState(
    { relayedEntries, loadReports }: GossipMessage,
    now: number,
  ): void {
    const { hosts, onEntry } = this.options;
    for (const { entry, agoMs } of relayedEntries) {
      const lastSeenAt = now - Math.max(0, agoMs);
      if (hosts.applyRelayedEntry(entry, lastSeenAt)) {
        onEntry(entry, lastSeenAt);
      }
    }
    for (const report of loadReports) {
      const host = hosts.applyLoadReport(report, now);
      if (host) onEntry(host.entry, host.lastSeenAt);
    }
  }

  /** Whether the sender of an entry has no copy of the publication, and this host has one. */
  private lacksPublication({ publicationAgeMs }: PeerEntry): boolean {
    return publicationAgeMs < 0 &&
      this.options.self.getEntry().publicationAgeMs >= 0;
  }

  /** Sends a host this host's outdated state of it, so that the host refutes it. */
  private sendCorrection(
    { gossipAddress, incarnation }: PeerEntry,
    now: number,
  ): void {
    const { hosts, rumours } = this.options;
    const known = hosts.getHost(gossipAddress);
    if (!known) return;
    const isUpToDate = known.entry.incarnation === incarnation &&
      (known.status === "alive" || !hosts.isLarge);
    if (isUpToDate) return;
    rumours.send(gossipAddress, [hosts.buildRumour(known, now)]);
  }

  private compareDigests(message: GossipMessage, now: number): void {
    const { composer, pull, isStarting } = this.options;
    const { sender, hostsDigest } = message;
    if (hostsDigest === 0) return;
    if (hostsDigest === composer.computeDigest()) pull.recordDigestMatch();
    else pull.recordDigestMismatch(sender, isStarting(), now);
  }
}
