import type { Logger } from "../logging/logger.ts";
import type { PeerEntry } from "../peers/gossip_schema.ts";
import type { PublicationFeed } from "../published/publication_feed.ts";
import type { PublicationReplica } from "../published/publication_replica.ts";
import type { EngineInventory } from "../upstreams/engine_inventory.ts";
import { PrefixExchange } from "./prefix_exchange.ts";
import { PrefixRecovery } from "./prefix_recovery.ts";
import {
  PublicationExchange,
  type PublicationExchangeOptions,
} from "./publication_exchange.ts";
import { StartKnowledgeExchange } from "./start_knowledge_exchange.ts";
import type { UpstreamChooser } from "./upstream_chooser.ts";
import { VersionRecovery } from "./version_recovery.ts";

/** Dependencies of {@link PeerExchanges}. */
export interface PeerExchangesOptions {
  logger: Logger;
  hostId: string;
  replica: PublicationReplica;
  chooser: UpstreamChooser;
  inventory: EngineInventory;
  feed: PublicationFeed;
  /** Returns the other live hosts. */
  getHosts: () => readonly PeerEntry[];
  /** Called at the end of each request for the publication of another host. */
  onPublicationFetched: PublicationExchangeOptions["onFetched"];
  /** Returns the ids of the hosts from which this one learns of changes; none if it reads the platform itself. */
  getSourceIds: () => readonly string[];
}

/** The exchanges over HTTP by which hosts learn from each other what they know of the upstreams. */
export class PeerExchanges {
  readonly publication: PublicationExchange;
  readonly prefixes: PrefixExchange;
  readonly startKnowledge: StartKnowledgeExchange;
  readonly versions: VersionRecovery;

  private constructor(private readonly options: PeerExchangesOptions) {
    const { logger, replica, chooser, getHosts } = options;
    this.publication = PublicationExchange.create({
      logger,
      replica,
      onFetched: options.onPublicationFetched,
    });
    this.prefixes = PrefixExchange.create(chooser.prefixes, logger);
    this.startKnowledge = StartKnowledgeExchange.create({
      logger,
      upstreams: chooser.upstreams,
      getHosts,
      isPublicationRecent: () => replica.isRecent,
    });
    this.versions = VersionRecovery.create({
      logger,
      feed: options.feed,
      versions: chooser.upstreams.versions,
      startKnowledge: this.startKnowledge,
      getSourceIds: options.getSourceIds,
    });
  }

  /** Creates the exchanges.
   * @param options Their dependencies. */
  static create(options: PeerExchangesOptions): PeerExchanges {
    return new PeerExchanges(options);
  }

  /** Recovers after a restart what this host does not know from the publication, which must be known. */
  async recover(): Promise<void> {
    const { logger, hostId, chooser, inventory, getHosts } = this.options;
    const recovery = PrefixRecovery.create({
      logger,
      prefixes: chooser.prefixes,
      inventory,
      hostId,
      exchange: this.prefixes,
      getHosts,
      getEngines: () => chooser.getFetchCapableEngines(),
    });
    await Promise.all([this.versions.run(), recovery.run()]);
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    this.versions.close();
    await this.publication.close();
    await this.prefixes.close();
    await this.startKnowledge.close();
  }
}
