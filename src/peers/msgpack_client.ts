import type { ServerResponse } from "node:http";
import { pack, unpack } from "msgpackr";
import { Agent, request } from "undici";
import { MAX_SYSTEM_RESPONSE_BYTES } from "../http/response_limits.ts";

/** Connect timeout, in milliseconds: several round-trip times; an unresponsive host delays a request to the next host
 * by no longer than this. */
const CONNECT_TIMEOUT_MS = 300;

/** HTTP client for requests to other hosts with msgpack response bodies. */
export class MsgpackClient {
  private readonly agent: Agent;

  private constructor(private readonly timeoutMs: number) {
    this.agent = new Agent({
      connect: { timeout: CONNECT_TIMEOUT_MS },
      maxResponseSize: MAX_SYSTEM_RESPONSE_BYTES,
    });
  }

  /** Creates a client.
   * @param timeoutMs Timeout of a complete response, in milliseconds. */
  static create(timeoutMs: number): MsgpackClient {
    return new MsgpackClient(timeoutMs);
  }

  /** Sends a GET request to a host; returns the decoded body, or undefined if the status is not 200.
   * @param address Address at which it serves other hosts, as ip:port.
   * @param path Path and query.
   * @throws Error if the response does not arrive in time or the body is not msgpack. */
  async get(address: string, path: string): Promise<unknown> {
    const response = await request(`http://${address}${path}`, {
      dispatcher: this.agent,
      signal: AbortSignal.timeout(this.timeoutMs),
    });
    const bytes = Buffer.from(await response.body.arrayBuffer());
    return response.statusCode === 200 ? unpack(bytes) : undefined;
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

/** Sends a msgpack response with status 200.
 * @param response The HTTP response.
 * @param value The body. */
export function sendMsgpack(response: ServerResponse, value: unknown): void {
  response.writeHead(200, { "content-type": "application/msgpack" });
  response.end(pack(value));
}
