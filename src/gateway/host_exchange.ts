import type { ServerResponse } from "node:http";
import { z } from "zod";
import type { Logger } from "../logging/logger.ts";
import { type PeerEntry, peerEntrySchema } from "../peers/gossip_schema.ts";
import { HOST_STATUSES } from "../peers/host_rumour.ts";
import type { HostState } from "../peers/known_host.ts";
import { packEntry } from "../peers/pack_gossip.ts";
import { answerPacked, PackedClient } from "../peers/packed_client.ts";

/** Path under which a host tells another all hosts that it knows. */
export const HOSTS_PATH = "/hosts";

/** Time for a host's answer in milliseconds. */
const RESPONSE_TIMEOUT_MS = 1_000;

const statesSchema = z.array(
  z.tuple([peerEntrySchema, z.enum(HOST_STATUSES), z.number()])
    .transform(([entry, status, agoMs]) => ({ entry, status, agoMs })),
);

/** Asks other hosts for all hosts that they know, and answers them. */
export class HostExchange {
  private readonly client = PackedClient.create(RESPONSE_TIMEOUT_MS);

  private constructor(
    private readonly logger: Logger,
    private readonly getStates: () => readonly HostState[],
  ) {}

  /** Creates an exchange.
   * @param logger Where failures are written.
   * @param getStates All hosts that are known here, this one included. */
  static create(
    logger: Logger,
    getStates: () => readonly HostState[],
  ): HostExchange {
    return new HostExchange(logger, getStates);
  }

  /** Answers a host.
   * @param response Where the answer is written. */
  respond(response: ServerResponse): void {
    const states = this.getStates().map(({ entry, status, agoMs }) => [
      packEntry(entry),
      status,
      Math.round(agoMs),
    ]);
    answerPacked(response, states);
  }

  /** Asks a host; returns nothing where it does not answer.
   * @param host The host. */
  async fetch(host: PeerEntry): Promise<readonly HostState[] | undefined> {
    try {
      const answer = await this.client.ask(host.peerAddress, HOSTS_PATH);
      const states = statesSchema.parse(answer);
      this.logger.info({ peer: host.id, hosts: states.length }, "hosts_read");
      return states;
    } catch (error) {
      const reason = (error as Error).message;
      this.logger.info({ peer: host.id, reason }, "hosts_not_read");
      return undefined;
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.client.close();
  }
}
