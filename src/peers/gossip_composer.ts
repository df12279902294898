import type { Timeline } from "../clock/timeline.ts";
import type { Random } from "../random/random.ts";
import type { PrefixFact } from "../upstreams/prefix_index.ts";
import { chooseTold } from "./select_gossip_hosts.ts";
import type { GossipMessage } from "./gossip_schema.ts";
import type { HostReport } from "./load_report.ts";
import type { HostTable } from "./host_table.ts";
import type { KnownHost } from "./known_host.ts";
import type { RumourSpread } from "./rumour_disseminator.ts";
import type { SelfDescription } from "./local_host_state.ts";

/** Entries of other hosts in one datagram, so that it fits into one packet. */
export const RELAYED_ENTRIES = 10;
/** Reports of other hosts' requests in one datagram, so that it fits into one packet. */
const MAX_REPORTS = 16;

/** What messages are composed from. */
export interface GossipComposerOptions {
  hosts: HostTable;
  self: SelfDescription;
  rumours: RumourSpread;
  timeline: Timeline;
  random: Random;
}

/** What a message holds beside what every message does. */
export interface GossipContent {
  /** Number with which the receiver is to answer. */
  probe?: number;
  facts?: readonly PrefixFact[];
  /** Hosts whose entries are told. */
  others?: readonly KnownHost[];
}

/** Composes what a host tells another of itself and of others. */
export class GossipComposer {
  private constructor(private readonly options: GossipComposerOptions) {}

  /** Creates a composer.
   * @param options What messages are composed from. */
  static create(options: GossipComposerOptions): GossipComposer {
    return new GossipComposer(options);
  }

  /** Composes a message.
   * @param address Gossip address of its receiver.
   * @param content What it holds. */
  compose(address: string, content: GossipContent): GossipMessage {
    const { hosts, self, rumours, timeline } = this.options;
    const { probe = 0, facts = [], others = [] } = content;
    const now = timeline.read();
    const { isLarge } = hosts;
    return {
      sender: self.getEntry(),
      sentAt: now,
      echo: hosts.getHost(address)?.lastSentAt,
      facts: [...facts],
      others: others.map(({ entry, heardAt }) => ({
        entry,
        agoMs: now - heardAt,
      })),
      probe,
      hostsDigest: isLarge ? this.computeDigest() : 0,
      rumours: isLarge ? rumours.take() : [],
      reports: isLarge ? this.chooseReports(now) : [],
    };
  }

  /** Number that is equal on two hosts that take the same hosts for live. */
  computeDigest(): number {
    const { hosts, self } = this.options;
    return hosts.computeDigest(self.incarnation);
  }

  /** The hosts whose entries are relayed to a host of a small fleet.
   * @param address Gossip address of that host. */
  chooseRelayed(address: string): KnownHost[] {
    const { hosts, timeline, random } = this.options;
    const others = hosts.getLive(timeline.read()).filter(({ entry }) =>
      entry.gossipAddress !== address
    );
    return chooseTold(others, RELAYED_ENTRIES, random);
  }

  private chooseReports(now: number): HostReport[] {
    const { hosts, random } = this.options;
    return chooseTold(hosts.getLive(now), MAX_REPORTS, random).map((
      { name, heardAt, entry: { incarnation, sequence, loads } },
    ) => ({ name, incarnation, sequence, agoMs: now - heardAt, loads }));
  }
}
