import { readClock } from "../clock/clock.ts";
import type { ServerResponse } from "node:http";
import { z } from "zod";
import type { Logger } from "../logging/logger.ts";
import { MsgpackClient, sendMsgpack } from "../peers/msgpack_client.ts";
import type { PublishedConfiguration } from "../published/configuration_schema.ts";
import {
  packConfiguration,
  unpackConfiguration,
} from "../published/pack_configuration.ts";
import { getRevision } from "../published/position.ts";
import type { PublicationReplica } from "../published/publication_replica.ts";
import { evacuationChangeSchema } from "../published/evacuation_change.ts";
import { upstreamSchema } from "../published/upstream_schema.ts";

/** Path under which a host serves the publication that it knows to other hosts. */
export const PUBLICATION_PATH = "/publication";

/** Version that a host sends while it has no configuration. */
const NO_CONFIGURATION_VERSION = "none";
/** Timeout for the response of a host, after which another host can be asked. Several hosts may be reading a
 * configuration of a few thousand routes at the same time over a link of a few megabits per second. */
const RESPONSE_TIMEOUT_MS = 1_500;

/** Result of a request for the publication of another host. */
export type PublicationFetchResult = "learned" | "failed";

/** Dependencies of a {@link PublicationExchange}. */
export interface PublicationExchangeOptions {
  logger: Logger;
  /** The publication known here. */
  replica: PublicationReplica;
  /** Called at the end of each fetch. */
  onFetched?: (result: PublicationFetchResult) => void;
}

/** Minimum interval between the starts of two fetches while this host has a configuration, in milliseconds. While
 * upstreams come and go, the digests of all hosts differ all the time; the interval is small compared with the times
 * within which changes have to be in force. */
export const MIN_FETCH_INTERVAL_MS = 400;

/** Maximum number of hosts that are asked at a time, so that one that does not respond does not delay the changes that
 * another knows. */
const MAX_CONCURRENT_FETCHES = 2;

const stateSchema = z.object({
  /** The configuration as `packConfiguration` writes it. */
  configuration: z.instanceof(Uint8Array).optional(),
  changes: z.array(
    z.object({
      id: z.string(),
      revision: z.number(),
      upstream: upstreamSchema.optional(),
    }).transform(({ upstream, ...change }) => ({ ...change, upstream })),
  ),
  evacuations: z.array(evacuationChangeSchema).default([]),
  completeUpTo: z.number(),
  /** Digest of the entire publication that the host knows. */
  digest: z.number(),
  /** Omitted if the host has no publication yet. */
  ageMs: z.number().default(Infinity),
  lapseMs: z.number().nonnegative().default(0),
});

/** Exchanges the publication with other hosts. */
export class PublicationExchange {
  private readonly client = MsgpackClient.create(RESPONSE_TIMEOUT_MS);
  /** Ids of the hosts that have not responded yet. */
  private readonly running = new Set<string>();
  private lastFetchAt = -Infinity;
  /** Pending fetch that was requested before the minimum interval was over. */
  private deferredFetch: NodeJS.Timeout | undefined;
  /** The host that the pending fetch asks. */
  private nextPeer: { peerId: string; address: string } | undefined;
  private needsFullState = false;
  private packedConfiguration: { version: number; bytes: Buffer } | undefined;

  private readonly logger: Logger;
  private readonly replica: PublicationReplica;

  private constructor(private readonly options: PublicationExchangeOptions) {
    this.logger = options.logger;
    this.replica = options.replica;
  }

  /** Creates an exchange.
   * @param options Its dependencies. */
  static create(options: PublicationExchangeOptions): PublicationExchange {
    return new PublicationExchange(options);
  }

  /** Responds with the parts of the publication that the requesting host may lack.
   * @param response The response to write.
   * @param query Has `version`, the version of that host's configuration, and `after`, the revision up to which that
   * host has every change of upstreams. */
  respond(response: ServerResponse, query: URLSearchParams): void {
    const after = Number(query.get("after") ?? 0);
    const { ageMs, configuration, ...state } = this.replica.getState(after);
    const hasVersion = String(configuration?.version) === query.get("version");
    sendMsgpack(response, {
      configuration: configuration && !hasVersion
        ? this.pack(configuration)
        : undefined,
      ...state,
      digest: this.replica.digest,
      ageMs: Number.isFinite(ageMs) ? ageMs : undefined,
    });
  }

  /** Fetches from a host what may be missing here, at the end of the minimum interval if the last fetch was just before.
   * Of several hosts that are named within the interval, the last one is asked.
   * @param peerId Id of the host.
   * @param address Peer address of the host, as ip:port. */
  async fetch(peerId: string, address: string): Promise<void> {
    const waitMs = this.lastFetchAt + MIN_FETCH_INTERVAL_MS - readClock();
    const hasConfiguration = this.replica.routes !== undefined;
    if (waitMs > 0 && (hasConfiguration || this.running.size > 0)) {
      return this.defer(peerId, address, waitMs);
    }
    await this.fetchNow(peerId, address);
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    clearTimeout(this.deferredFetch);
    await this.client.close();
  }

  private defer(peerId: string, address: string, waitMs: number): void {
    this.nextPeer = { peerId, address };
    this.deferredFetch ??= setTimeout(() => {
      this.deferredFetch = undefined;
      const { peerId: id, address: nextAddress } = this.nextPeer!;
      void this.fetchNow(id, nextAddress);
    }, waitMs);
  }

  private async fetchNow(peerId: string, address: string): Promise<void> {
    const isBusy = this.running.size >= MAX_CONCURRENT_FETCHES;
    if (isBusy || this.running.has(peerId)) return;
    this.running.add(peerId);
    const requestedAt = readClock();
    this.lastFetchAt = requestedAt;
    const before = { ...describe(this.replica), requestedAt };
    try {
      await this.fetchState(peerId, address, requestedAt);
      this.logLearned(peerId, before);
      this.options.onFetched?.("learned");
    } catch (error) {
      const reason = (error as Error).message;
      const tookMs = Math.round(readClock() - requestedAt);
      this.logger.info(
        { peer: peerId, reason, tookMs, ageMs: describe(this.replica).ageMs },
        "publication_not_learned",
      );
      this.options.onFetched?.("failed");
    } finally {
      this.running.delete(peerId);
    }
  }

  private logLearned(
    peer: string,
    before: { revision: number; ageMs: number; requestedAt: number },
  ): void {
    const { revision, ageMs } = describe(this.replica);
    this.logger.info({
      peer,
      tookMs: Math.round(readClock() - before.requestedAt),
      revisionBefore: before.revision,
      revision,
      ageBeforeMs: before.ageMs,
      ageMs,
    }, "publication_learned");
  }

  /** Returns the packed configuration, cached per version because many hosts ask for it at the same time. */
  private pack(configuration: PublishedConfiguration): Buffer {
    const { version } = configuration;
    if (this.packedConfiguration?.version !== version) {
      this.packedConfiguration = {
        version,
        bytes: packConfiguration(configuration),
      };
    }
    return this.packedConfiguration.bytes;
  }

  private async fetchState(
    peerId: string,
    address: string,
    requestedAt: number,
  ): Promise<void> {
    const version = this.replica.routes?.version ??
      NO_CONFIGURATION_VERSION;
    const after = this.needsFullState ? 0 : this.replica.completeUpTo;
    const path = `${PUBLICATION_PATH}?version=${version}&after=${after}`;
    const { configuration, digest, ...rest } = stateSchema.parse(
      await this.client.get(address, path),
    );
    const state = {
      ...rest,
      configuration: configuration && unpackConfiguration(configuration),
    };
    this.replica.applyPeerState(state, peerId, requestedAt);
    // If the digests still differ although the host has every change that is known here, more is missing here than
    // `completeUpTo` implies; the next fetch asks for the full state.
    this.needsFullState = digest !== this.replica.digest &&
      rest.completeUpTo >= this.replica.revision;
  }
}

/** Returns how much of the publication is known, for the log. */
function describe(
  { revision, ageMs }: PublicationReplica,
): { revision: number; ageMs: number } {
  return { revision: getRevision(revision), ageMs: Math.round(ageMs) };
}
