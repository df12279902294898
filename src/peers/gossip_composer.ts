import type { Timeline } from "../clock/timeline.ts";
import type { Random } from "../random/random.ts";
import type { PrefixUpdate } from "../upstreams/prefix_index.ts";
import { selectGossipHosts } from "./select_gossip_hosts.ts";
import type { GossipMessage } from "./gossip_schema.ts";
import type { LoadReport } from "./load_report.ts";
import type { HostTable } from "./host_table.ts";
import type { KnownHost } from "./known_host.ts";
import type { RumourDisseminator } from "./rumour_disseminator.ts";
import type { LocalHostState } from "./local_host_state.ts";

/** Maximum number of relayed entries in a datagram, so that it fits into one packet. */
export const MAX_RELAYED_ENTRIES = 10;
/** Maximum number of load reports in a datagram, so that it fits into one packet. */
const MAX_LOAD_REPORTS = 16;

/** Dependencies of a composer. */
export interface GossipComposerOptions {
  hosts: HostTable;
  self: LocalHostState;
  rumours: RumourDisseminator;
  timeline: Timeline;
  random: Random;
}

/** Optional content of a gossip message. */
export interface GossipContent {
  /** Nonce that the receiver is to acknowledge. */
  probeNonce?: number;
  prefixUpdates?: readonly PrefixUpdate[];
  /** Hosts whose entries are relayed. */
  relayedHosts?: readonly KnownHost[];
}

/** Composes gossip messages. */
export class GossipComposer {
  private constructor(private readonly options: GossipComposerOptions) {}

  /** Creates a composer.
   * @param options Its dependencies. */
  static create(options: GossipComposerOptions): GossipComposer {
    return new GossipComposer(options);
  }

  /** Composes a message.
   * @param address Gossip address of the receiver.
   * @param content Optional content. */
  compose(address: string, content: GossipContent): GossipMessage {
    const { hosts, self, rumours, timeline } = this.options;
    const { probeNonce = 0, prefixUpdates = [], relayedHosts = [] } = content;
    const now = timeline.read();
    const { isLarge } = hosts;
    return {
      sender: self.getEntry(),
      sentAt: now,
      echo: hosts.getHost(address)?.lastRemoteSentAt,
      prefixUpdates: [...prefixUpdates],
      relayedEntries: relayedHosts.map(({ entry, lastSeenAt }) => ({
        entry,
        agoMs: now - lastSeenAt,
      })),
      probeNonce,
      hostsDigest: isLarge ? this.computeDigest() : 0,
      rumours: isLarge ? rumours.takeBatch() : [],
      loadReports: isLarge ? this.selectLoadReports(now) : [],
    };
  }

  /** Computes a digest that is equal on two hosts that consider the same hosts live. */
  computeDigest(): number {
    const { hosts, self } = this.options;
    return hosts.computeDigest(self.incarnation);
  }

  /** Selects the hosts whose entries are relayed to a host of a small fleet.
   * @param address Gossip address of the receiver. */
  selectRelayedHosts(address: string): KnownHost[] {
    const { hosts, timeline, random } = this.options;
    const others = hosts.getLive(timeline.read()).filter(({ entry }) =>
      entry.gossipAddress !== address
    );
    return selectGossipHosts(others, MAX_RELAYED_ENTRIES, random);
  }

  private selectLoadReports(now: number): LoadReport[] {
    const { hosts, random } = this.options;
    return selectGossipHosts(hosts.getLive(now), MAX_LOAD_REPORTS, random).map((
      { name, lastSeenAt, entry: { incarnation, sequence, loads } },
    ) => ({ name, incarnation, sequence, agoMs: now - lastSeenAt, loads }));
  }
}
