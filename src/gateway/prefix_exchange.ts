import { readClock } from "../clock/clock.ts";
import type { ServerResponse } from "node:http";
import type { Logger } from "../logging/logger.ts";
import { MsgpackClient, sendMsgpack } from "../peers/msgpack_client.ts";
import { prefixUpdatesSchema } from "../peers/message_schemas.ts";
import type { PrefixIndex } from "../upstreams/prefix_index.ts";

/** Path under which a host serves to other hosts which engines have which prompt parts cached. */
export const PREFIXES_PATH = "/prefixes";

/** Maximum number of index entries in one response, which is a few tens of kilobytes. */
const MAX_ENTRIES = 4_000;
/** Timeout for the response of a host; the first requests after a start wait no longer than this. */
const RESPONSE_TIMEOUT_MS = 300;

/** Exchanges with other hosts which engines have which prompt parts cached. */
export class PrefixExchange {
  private readonly client = MsgpackClient.create(RESPONSE_TIMEOUT_MS);

  private constructor(
    private readonly prefixes: PrefixIndex,
    private readonly logger: Logger,
  ) {}

  /** Creates an exchange.
   * @param prefixes The local index.
   * @param logger Logs the results of fetches. */
  static create(prefixes: PrefixIndex, logger: Logger): PrefixExchange {
    return new PrefixExchange(prefixes, logger);
  }

  /** Responds with the most recently used index entries, or with 204 if this host has just started too and its index is
   * incomplete.
   * @param response The response to write. */
  respond(response: ServerResponse): void {
    if (!this.prefixes.isComplete) {
      response.writeHead(204).end();
      return;
    }
    const entries = this.prefixes.getRecentUpdates(MAX_ENTRIES, readClock());
    sendMsgpack(response, entries);
  }

  /** Fetches the index of a host; returns whether the host had a complete one.
   * @param address Peer address of the host, as ip:port. */
  async fetch(address: string): Promise<boolean> {
    try {
      const response = await this.client.get(address, PREFIXES_PATH);
      if (response === undefined) return false;
      const entries = prefixUpdatesSchema.parse(response);
      this.prefixes.applyUpdates(entries, readClock());
      this.logger.info({ address, facts: entries.length }, "prefixes_learned");
      return true;
    } catch (error) {
      const reason = (error as Error).message;
      this.logger.info({ address, reason }, "prefixes_not_learned");
      return false;
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.client.close();
  }
}
