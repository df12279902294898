import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { EngineTiming } from "../fakes/engine_timing.ts";
import { FakeWorker } from "../fakes/fake_worker.ts";
import { buildWorkerEntry } from "../fakes/worker_entry.ts";

/** Requests that an engine processes concurrently. */
const SLOTS = 48;
/** Interval at which events of a response are written, in milliseconds; events in between are merged into one. */
const MAX_EVENT_INTERVAL_MS = 100;

/** An engine that speaks the platform's protocol and simulates the response times of a batching engine. */
export class TimedEngine {
  /** Number of requests in flight. */
  held = 0;
  private readonly timing = EngineTiming.create();

  private constructor(
    private readonly worker: FakeWorker,
    private readonly onArrival: (held: number) => void,
  ) {}

  /** Starts an engine.
   * @param id Engine id.
   * @param onArrival Called for each request with the number of requests in flight before it. */
  static async create(
    id: string,
    onArrival: (held: number) => void,
  ): Promise<TimedEngine> {
    const worker = await FakeWorker.create(id);
    const engine = new TimedEngine(worker, onArrival);
    worker.behaviour = (request, response) =>
      void engine.handleRequest(request, response);
    return engine;
  }

  get id(): string {
    return this.worker.id;
  }

  /** Tokens of shared prompts that were not in the engine's cache and had to be prefilled. */
  get prefilledTokens(): number {
    return this.timing.readTokens;
  }

  /** Builds the engine's entry in the metadata store.
   * @param service Name of the engine's service. */
  buildServerEntry(service: string) {
    const { address, startedAt } = this.worker;
    return buildWorkerEntry({
      service,
      address,
      startedAt,
      state: "ready",
      slots: SLOTS,
    });
  }

  /** Stops the engine. */
  async close(): Promise<void> {
    await this.worker.close();
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.onArrival(this.held);
    this.held += 1;
    response.once("close", () => this.held -= 1);
    const { prompt, tokens } = parseSharedPrompt(request);
    await delay(this.timing.read(prompt, tokens, performance.now()));
    response.writeHead(200, {
      ...this.worker.prove(request),
      "content-type": "text/event-stream",
      "x-beechkeel-server-load": `${this.held},0,${SLOTS}`,
    });
    await this.stream(Number(request.url?.split("/").at(-1)), response);
  }

  private async stream(
    events: number,
    response: ServerResponse,
  ): Promise<void> {
    let remainingMs = this.timing.getEventsMs(events, this.held);
    for (let event = 1; !response.destroyed; event++) {
      response.write(`id: ${event}\ndata: event\n\n`);
      if (remainingMs <= 0) break;
      await delay(Math.min(MAX_EVENT_INTERVAL_MS, remainingMs));
      remainingMs -= MAX_EVENT_INTERVAL_MS;
    }
    response.end();
  }
}

/** Reads the id and token count of the shared part of a request's prompt from the `x-beechkeel-prefix-hash` header. */
function parseSharedPrompt(request: IncomingMessage) {
  const parts = String(request.headers["x-beechkeel-prefix-hash"]).split(",");
  const [id, tokens] = parts[0]!.split(":");
  return { prompt: parseInt(id!, 16), tokens: Number(tokens) };
}
