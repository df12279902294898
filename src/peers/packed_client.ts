import type { ServerResponse } from "node:http";
import { pack, unpack } from "msgpackr";
import { Agent, request } from "undici";

/** Time for a connection to another host, in milliseconds: some times the way there and back; a silent host holds up no
 * question to another for longer. */
const CONNECT_TIMEOUT_MS = 300;

/** Asks other hosts over HTTP for what they know; the bodies are msgpack. */
export class PackedClient {
  private readonly agent: Agent;

  private constructor(private readonly timeoutMs: number) {
    this.agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });
  }

  /** Creates a client.
   * @param timeoutMs Time for a whole answer, in milliseconds. */
  static create(timeoutMs: number): PackedClient {
    return new PackedClient(timeoutMs);
  }

  /** Asks a host; returns the unpacked body, or nothing where the host answered with another status than 200.
   * @param address Where it answers other hosts, as ip:port.
   * @param path Path with its query.
   * @throws Error where it does not answer in time or the body is not msgpack. */
  async ask(address: string, path: string): Promise<unknown> {
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

/** Answers another host's question.
 * @param response Where the answer is written.
 * @param value What is told. */
export function answerPacked(response: ServerResponse, value: unknown): void {
  response.writeHead(200, { "content-type": "application/msgpack" });
  response.end(pack(value));
}
