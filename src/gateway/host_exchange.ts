import type { ServerResponse } from "node:http";
import { z } from "zod";
import type { Logger } from "../logging/logger.ts";
import { type PeerEntry, peerEntrySchema } from "../peers/gossip_schema.ts";
import { HOST_STATUSES } from "../peers/host_rumour.ts";
import type { HostState } from "../peers/known_host.ts";
import { packEntry } from "../peers/pack_gossip.ts";
import { MsgpackClient, sendMsgpack } from "../peers/msgpack_client.ts";

/** Path under which a host serves all hosts that it knows to other hosts. */
export const HOSTS_PATH = "/hosts";

/** Timeout for the response of a host. */
const RESPONSE_TIMEOUT_MS = 1_000;

const statesSchema = z.array(
  z.tuple([peerEntrySchema, z.enum(HOST_STATUSES), z.number()])
    .transform(([entry, status, agoMs]) => ({ entry, status, agoMs })),
);

/** Exchanges the lists of known hosts with other hosts. */
export class HostExchange {
  private readonly client = MsgpackClient.create(RESPONSE_TIMEOUT_MS);

  private constructor(
    private readonly logger: Logger,
    private readonly getStates: () => readonly HostState[],
  ) {}

  /** Creates an exchange.
   * @param logger Logs the results of fetches.
   * @param getStates Returns all hosts known here, including this one. */
  static create(
    logger: Logger,
    getStates: () => readonly HostState[],
  ): HostExchange {
    return new HostExchange(logger, getStates);
  }

  /** Responds with all hosts known here.
   * @param response The response to write. */
  respond(response: ServerResponse): void {
    const states = this.getStates().map(({ entry, status, agoMs }) => [
      packEntry(entry),
      status,
      Math.round(agoMs),
    ]);
    sendMsgpack(response, states);
  }

  /** Fetches all hosts that a host knows; returns undefined if it does not respond.
   * @param host The host. */
  async fetch(host: PeerEntry): Promise<readonly HostState[] | undefined> {
    try {
      const response = await this.client.get(host.peerAddress, HOSTS_PATH);
      const states = statesSchema.parse(response);
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
