import { Agent, request } from "undici";
import { z } from "zod";
import {
  type PublishedValue,
  publishedValueSchema,
} from "../configuration/document_schema.ts";
import { type HostList, hostListSchema } from "./host_schema.ts";

const documentsSchema = z.object({
  revision: z.number().int(),
  values: z.array(publishedValueSchema),
});

/** Time beyond a watch's own wait after which an answer is given up. */
const GRACE_MS = 2_000;

/** Reads and watches the platform over HTTP; the form of its protocol stands only here. */
export class PlatformClient {
  private readonly agent = new Agent({
    connections: 4,
    connect: { timeout: GRACE_MS },
  });

  private constructor(private readonly url: string) {}

  /** Creates a client.
   * @param url Base URL of the platform. */
  static create(url: string): PlatformClient {
    return new PlatformClient(url.replace(/\/$/, ""));
  }

  /** Reads the values above a revision, waiting for one to appear.
   * @param after Revision already known.
   * @param waitMs Time the platform may hold the call. */
  async readDocuments(
    after: number,
    waitMs: number,
  ): Promise<PublishedValue[]> {
    const body = await this.read(
      `/v1/documents?after=${after}&wait=${waitMs}`,
      waitMs,
    );
    return documentsSchema.parse(body).values;
  }

  /** Reads the host list, waiting for a version other than the known one.
   * @param version Version already known.
   * @param reader Name of the reading router.
   * @param waitMs Time the platform may hold the call. */
  async readHosts(
    version: number,
    reader: string,
    waitMs: number,
  ): Promise<HostList> {
    const path = `/v1/hosts?version=${version}&reader=${
      encodeURIComponent(reader)
    }&wait=${waitMs}`;
    return hostListSchema.parse(await this.read(path, waitMs));
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async read(path: string, waitMs: number): Promise<unknown> {
    const response = await request(this.url + path, {
      dispatcher: this.agent,
      headersTimeout: waitMs + GRACE_MS,
      bodyTimeout: GRACE_MS,
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      throw new Error(`platform answered ${response.statusCode}`);
    }
    return await response.body.json();
  }
}
