import { readClock } from "../clock/clock.ts";
import type { ServerResponse } from "node:http";
import type { Logger } from "../logging/logger.ts";
import { answerPacked, PackedClient } from "../peers/packed_client.ts";
import { prefixFactsSchema } from "../peers/told_schemas.ts";
import type { PrefixIndex } from "../upstreams/prefix_index.ts";

/** Path under which a host tells another which engines keep which parts. */
export const PREFIXES_PATH = "/prefixes";

/** Facts in one answer: some tens of kilobytes. */
const MAX_ENTRIES = 4_000;
/** Time for a host's answer in milliseconds; the first requests after a start do not wait longer. */
const RESPONSE_TIMEOUT_MS = 300;

/** Asks other hosts which engines keep which parts of prompts, and answers them. */
export class PrefixExchange {
  private readonly client = PackedClient.create(RESPONSE_TIMEOUT_MS);

  private constructor(
    private readonly prefixes: PrefixIndex,
    private readonly logger: Logger,
  ) {}

  /** Creates an exchange.
   * @param prefixes What is known here.
   * @param logger Where failures are written. */
  static create(prefixes: PrefixIndex, logger: Logger): PrefixExchange {
    return new PrefixExchange(prefixes, logger);
  }

  /** Answers a host; 204 where this host has just started too and knows only a part.
   * @param response Where the answer is written. */
  respond(response: ServerResponse): void {
    if (!this.prefixes.isComplete) {
      response.writeHead(204).end();
      return;
    }
    const facts = this.prefixes.getRecent(MAX_ENTRIES, readClock());
    answerPacked(response, facts);
  }

  /** Asks a host; returns whether it knew.
   * @param address Where it answers other hosts, as ip:port. */
  async fetch(address: string): Promise<boolean> {
    try {
      const answer = await this.client.ask(address, PREFIXES_PATH);
      if (answer === undefined) return false;
      const facts = prefixFactsSchema.parse(answer);
      this.prefixes.learn(facts, readClock());
      this.logger.info({ address, facts: facts.length }, "prefixes_learned");
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
