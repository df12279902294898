import type { ServerResponse } from "node:http";
import { z } from "zod";
import { readClock } from "../clock/clock.ts";
import { setTimeout as delay } from "node:timers/promises";
import type { Logger } from "../logging/logger.ts";
import type { PeerEntry } from "../peers/gossip_schema.ts";
import { MsgpackClient, sendMsgpack } from "../peers/msgpack_client.ts";
import type { UpstreamTable } from "../upstreams/upstream_table.ts";

/** Path under which a host serves to hosts that start what it has learned of the upstreams. */
export const START_KNOWLEDGE_PATH = "/start-knowledge";

/** Timeout for the response of a host, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 500;
/** Maximum number of hosts to ask. */
const MAX_QUERIED_HOSTS = 3;
/** Interval at which a host that starts looks for other hosts, in milliseconds. */
const DISCOVERY_INTERVAL_MS = 20;
/** Time after which a host that has discovered no other one stops looking, in milliseconds. */
const MAX_DISCOVERY_MS = 2_000;

const knowledgeSchema = z.object({
  /** Time for which the host has observed all upstreams, in milliseconds. */
  observedMs: z.number(),
  /** Upstreams that have departed: service, software version or null, and milliseconds since. */
  departures: z.array(
    z.tuple([z.string(), z.string().nullable(), z.number()]),
  ),
  /** Backoffs that upstreams have asked for: hash of the instance and remaining milliseconds. */
  backoffs: z.array(z.tuple([z.number(), z.number()])),
});

/** What a host has learned of the upstreams that is not published. */
type StartKnowledge = z.infer<typeof knowledgeSchema>;

/** Dependencies of {@link StartKnowledgeExchange}. */
export interface StartKnowledgeOptions {
  logger: Logger;
  upstreams: UpstreamTable;
  /** Returns the other live hosts. */
  getHosts: () => readonly PeerEntry[];
  /** Whether the known publication is recent, so that no upstream can have come and gone unnoticed. */
  isPublicationRecent: () => boolean;
}

/** Passes on what hosts have learned of the upstreams to hosts that start, so that it does not end with a process. */
export class StartKnowledgeExchange {
  private readonly client = MsgpackClient.create(RESPONSE_TIMEOUT_MS);
  private isClosed = false;

  private constructor(private readonly options: StartKnowledgeOptions) {}

  /** Creates an exchange.
   * @param options Its dependencies. */
  static create(options: StartKnowledgeOptions): StartKnowledgeExchange {
    return new StartKnowledgeExchange(options);
  }

  /** Responds with what this host has learned.
   * @param response The response to write. */
  respond(response: ServerResponse): void {
    const { upstreams, isPublicationRecent } = this.options;
    const { observedMs, departures } = upstreams.versions.describe();
    const knowledge: StartKnowledge = {
      observedMs: isPublicationRecent()
        ? Math.min(observedMs, Number.MAX_SAFE_INTEGER)
        : 0,
      departures: departures.map((
        { service, softwareVersion, agoMs },
      ) => [service, softwareVersion ?? null, agoMs]),
      backoffs: upstreams.getBackoffs(),
    };
    sendMsgpack(response, knowledge);
  }

  /** Learns from other hosts after the start of this one. The published upstreams must be known. */
  async learn(): Promise<void> {
    const hosts = await this.discoverHosts();
    await Promise.all(
      hosts.slice(0, MAX_QUERIED_HOSTS).map((host) => this.learnFrom(host)),
    );
  }

  /** Learns again from some hosts, which may have learned more meanwhile.
   * @param ids Their ids. */
  async learnFromHosts(ids: readonly string[]): Promise<void> {
    const hosts = this.options.getHosts().filter(({ id }) => ids.includes(id));
    await Promise.all(
      hosts.slice(0, MAX_QUERIED_HOSTS).map((host) => this.learnFrom(host)),
    );
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    this.isClosed = true;
    await this.client.close();
  }

  private async discoverHosts(): Promise<readonly PeerEntry[]> {
    const endsAt = readClock() + MAX_DISCOVERY_MS;
    let hosts = this.options.getHosts();
    while (hosts.length === 0 && readClock() < endsAt && !this.isClosed) {
      await delay(DISCOVERY_INTERVAL_MS, undefined, { ref: false });
      hosts = this.options.getHosts();
    }
    return hosts;
  }

  private async learnFrom({ id, peerAddress }: PeerEntry): Promise<void> {
    const { logger } = this.options;
    try {
      const response = await this.client.get(peerAddress, START_KNOWLEDGE_PATH);
      const knowledge = knowledgeSchema.parse(response);
      this.adopt(knowledge);
      logger.info({
        peer: id,
        observedMs: Math.round(knowledge.observedMs),
        departures: knowledge.departures.length,
        backoffs: knowledge.backoffs.length,
      }, "start_knowledge_learned");
    } catch (error) {
      const reason = (error as Error).message;
      logger.info({ peer: id, reason }, "start_knowledge_not_learned");
    }
  }

  private adopt({ observedMs, departures, backoffs }: StartKnowledge): void {
    const { upstreams } = this.options;
    const history = departures.map(([service, softwareVersion, agoMs]) => (
      { service, softwareVersion: softwareVersion ?? undefined, agoMs }
    ));
    upstreams.versions.adopt({ observedMs, departures: history });
    upstreams.adoptBackoffs(backoffs);
  }
}
