import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { EngineTiming } from "../fakes/engine_timing.ts";
import { FakeWorker } from "../fakes/fake_worker.ts";
import { buildWorkerEntry } from "../fakes/worker_entry.ts";

/** Requests that an engine works on at once. */
const SLOTS = 48;
/** Longest pause between two events of an answer, in milliseconds; events that come closer are sent as one. */
const EVENT_PAUSE_MS = 100;

/** An engine of the platform's protocol whose answers take as long as those of a batching engine. */
export class TimedEngine {
  /** Requests it holds. */
  held = 0;
  private readonly timing = EngineTiming.create();

  private constructor(
    private readonly worker: FakeWorker,
    private readonly onArrival: (held: number) => void,
  ) {}

  /** Starts an engine.
   * @param id Its id.
   * @param onArrival Told of each request, with those held before it. */
  static async create(
    id: string,
    onArrival: (held: number) => void,
  ): Promise<TimedEngine> {
    const worker = await FakeWorker.create(id);
    const engine = new TimedEngine(worker, onArrival);
    worker.behaviour = (request, response) =>
      void engine.handle(request, response);
    return engine;
  }

  /** Its id. */
  get id(): string {
    return this.worker.id;
  }

  /** Tokens of shared prompts that it had to read. */
  get readTokens(): number {
    return this.timing.readTokens;
  }

  /** What it publishes of itself.
   * @param service Name of its service. */
  describe(service: string) {
    const { address, startedAt } = this.worker;
    return buildWorkerEntry({
      service,
      address,
      startedAt,
      state: "ready",
      slots: SLOTS,
    });
  }

  /** Ends the engine. */
  async close(): Promise<void> {
    await this.worker.close();
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.onArrival(this.held);
    this.held += 1;
    response.once("close", () => this.held -= 1);
    const { prompt, tokens } = readPrompt(request);
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
    let leftMs = this.timing.getEventsMs(events, this.held);
    for (let event = 1; !response.destroyed; event++) {
      response.write(`id: ${event}\ndata: event\n\n`);
      if (leftMs <= 0) break;
      await delay(Math.min(EVENT_PAUSE_MS, leftMs));
      leftMs -= EVENT_PAUSE_MS;
    }
    response.end();
  }
}

/** The shared part of a request's prompt. */
function readPrompt(request: IncomingMessage) {
  const parts = String(request.headers["x-beechkeel-prefix-hash"]).split(",");
  const [id, tokens] = parts[0]!.split(":");
  return { prompt: parseInt(id!, 16), tokens: Number(tokens) };
}
