import { Agent, request } from "undici";
import { z } from "zod";
import { MAX_SYSTEM_RESPONSE_BYTES } from "../http/response_limits.ts";
import {
  type PublishedValue,
  publishedValueSchema,
} from "../configuration/document_schema.ts";
import { type HostList, hostListSchema } from "./host_schema.ts";

const documentsSchema = z.object({
  revision: z.number().int(),
  values: z.array(publishedValueSchema),
});

/** Time limit for connecting, for receiving the body, and for the response headers beyond the wait of a long poll. */
const NETWORK_TIMEOUT_MS = 2_000;

/** HTTP client of the platform's configuration service; no other module depends on its protocol. */
export class PlatformClient {
  private readonly agent = new Agent({
    connections: 4,
    connect: { timeout: NETWORK_TIMEOUT_MS },
    maxResponseSize: MAX_SYSTEM_RESPONSE_BYTES,
  });

  private constructor(private readonly url: string) {}

  /** Creates a client.
   * @param url Base URL of the platform. */
  static create(url: string): PlatformClient {
    return new PlatformClient(url.replace(/\/$/, ""));
  }

  /** Reads the values published after a revision, by a long poll if there are none yet.
   * @param after Latest known revision.
   * @param waitMs Time for which the platform may hold the request open. */
  async readDocuments(
    after: number,
    waitMs: number,
  ): Promise<PublishedValue[]> {
    const body = await this.getJson(
      `/v1/documents?after=${after}&wait=${waitMs}`,
      waitMs,
    );
    return documentsSchema.parse(body).values;
  }

  /** Reads the host list, by a long poll until its version differs from the known one.
   * @param version Known version.
   * @param reader Id of the router that reads.
   * @param waitMs Time for which the platform may hold the request open. */
  async readHosts(
    version: number,
    reader: string,
    waitMs: number,
  ): Promise<HostList> {
    const path = `/v1/hosts?version=${version}&reader=${
      encodeURIComponent(reader)
    }&wait=${waitMs}`;
    return hostListSchema.parse(await this.getJson(path, waitMs));
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async getJson(path: string, waitMs: number): Promise<unknown> {
    const response = await request(this.url + path, {
      dispatcher: this.agent,
      headersTimeout: waitMs + NETWORK_TIMEOUT_MS,
      bodyTimeout: NETWORK_TIMEOUT_MS,
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      throw new Error(`platform responded with status ${response.statusCode}`);
    }
    return await response.body.json();
  }
}
