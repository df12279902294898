import { readClock } from "../clock/clock.ts";
import type { ServerResponse } from "node:http";
import { z } from "zod";
import type { Logger } from "../logging/logger.ts";
import { answerPacked, PackedClient } from "../peers/packed_client.ts";
import type { PublishedConfiguration } from "../published/configuration_schema.ts";
import {
  packConfiguration,
  unpackConfiguration,
} from "../published/pack_configuration.ts";
import type { PublicationKeeper } from "../published/publication_keeper.ts";
import { upstreamSchema } from "../published/upstream_schema.ts";

/** Path under which a host tells another everything it knows. */
export const PUBLICATION_PATH = "/publication";

/** Version that a host names while it has no configuration. */
const NO_CONFIGURATION_VERSION = "none";
/** Time for a host's answer in milliseconds, and others can be asked after it: several hosts may read a configuration of
 * some thousand routes at a time over a link of some megabits. */
const RESPONSE_TIMEOUT_MS = 1_500;

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
  completeUpTo: z.number(),
  /** Digest of all that the host knows. */
  digest: z.number(),
  /** Missing where the host knows nothing yet. */
  ageMs: z.number().default(Infinity),
});

/** Asks other hosts for what is published, and answers them. */
export class PublicationExchange {
  private readonly client = PackedClient.create(RESPONSE_TIMEOUT_MS);
  private isFetching = false;
  private needsFullState = false;
  private packedConfiguration: { version: number; bytes: Buffer } | undefined;

  private constructor(
    private readonly published: PublicationKeeper,
    private readonly logger: Logger,
  ) {}

  /** Creates an exchange.
   * @param keeper What is known here.
   * @param logger Where failures are written. */
  static create(
    keeper: PublicationKeeper,
    logger: Logger,
  ): PublicationExchange {
    return new PublicationExchange(keeper, logger);
  }

  /** Answers a host with what is known here and may be missing there.
   * @param response Where the answer is written.
   * @param query With `version`, that of the configuration which the host has, and `after`, the revision up to which it
   * misses no change of upstreams. */
  respond(response: ServerResponse, query: URLSearchParams): void {
    const after = Number(query.get("after") ?? 0);
    const { ageMs, configuration, ...state } = this.published.getState(after);
    const isKnown = String(configuration?.version) === query.get("version");
    answerPacked(response, {
      configuration: configuration && !isKnown
        ? this.pack(configuration)
        : undefined,
      ...state,
      digest: this.published.digest,
      ageMs: Number.isFinite(ageMs) ? ageMs : undefined,
    });
  }

  /** Asks a host for what it knows and may be missing here, unless another is being asked: all would send the same.
   * @param peerId The host.
   * @param address Where it answers other hosts, as ip:port. */
  async fetch(peerId: string, address: string): Promise<void> {
    if (this.isFetching) return;
    this.isFetching = true;
    try {
      await this.fetchState(peerId, address, readClock());
    } catch (error) {
      this.logger.info(
        { peer: peerId, reason: (error as Error).message },
        "publication_not_learned",
      );
    } finally {
      this.isFetching = false;
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.client.close();
  }

  /** The configuration as other hosts read it; made once for each version, for many ask at the same time. */
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
    askedAt: number,
  ): Promise<void> {
    const version = this.published.routes?.version ??
      NO_CONFIGURATION_VERSION;
    const after = this.needsFullState ? 0 : this.published.completeUpTo;
    const path = `${PUBLICATION_PATH}?version=${version}&after=${after}`;
    const { configuration, digest, ...rest } = stateSchema.parse(
      await this.client.ask(address, path),
    );
    const state = {
      ...rest,
      configuration: configuration && unpackConfiguration(configuration),
    };
    this.published.takeState(state, peerId, askedAt);
    // Where the two still differ, more may be missing here than is believed; the next answer is to hold everything.
    this.needsFullState = digest !== this.published.digest;
  }
}
