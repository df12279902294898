import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { countTokens, getChunk } from "./response_text.ts";
import {
  DEFAULT_ENGINE_OPTIONS,
  type FakeEngineOptions,
} from "./fake_engine_options.ts";
import { EngineSlots } from "./engine_slots.ts";
import type { EngineStream } from "./engine_stream.ts";
import { closeHttp, listenHttp, reply } from "./http_fake.ts";
import { Ledger, type LedgerRun } from "./ledger.ts";
import { PrefixCache } from "./prefix_cache.ts";
import {
  applyAvailability,
  type UpstreamAvailability,
} from "./upstream_availability.ts";

/** A fault that an engine injects into its responses. */
export type EngineFault = "none" | "crossed" | "truncated" | "silent";

/** Time for which an engine keeps a response after its reader has disconnected, in milliseconds. */
const ABANDONED_STREAM_TTL_MS = 3_000;
const DEFAULT_COMPLETION_TOKENS = 20;

/** A fake model engine: it batches, caches prefixes, streams, resumes and cancels requests, reports its load with a
 * lag, and records its runs in a ledger. */
export class FakeEngine implements UpstreamAvailability {
  readonly ledger = Ledger.create();
  readonly cache: PrefixCache;
  fault: EngineFault = "none";
  leaving = false;
  backoffSeconds: number | undefined;
  announcesLeaving = false;
  /** Number of HTTP requests received, on any path. */
  requests = 0;
  /** Text that crashes the engine when a chat request with it in its body arrives; "" disables this. */
  crashTriggerText = "";
  /** Whether a request has crashed the engine. */
  hasCrashed = false;
  /** Factor applied to all service times; values above 1 slow the engine down. */
  slowdownFactor = 1;
  private readonly streams = new Map<string, EngineStream>();
  private readonly slots: EngineSlots;
  private fence = 0;
  private models: string[];
  private server: Server | undefined;
  private listeningPort = 0;

  private constructor(readonly options: FakeEngineOptions) {
    this.cache = PrefixCache.create(options.cacheTokens);
    this.models = options.models;
    this.slots = EngineSlots.create(options.slots);
  }

  /** Starts an engine.
   * @param options Options that differ from the defaults. */
  static async create(
    options: Partial<FakeEngineOptions> = {},
  ): Promise<FakeEngine> {
    const engine = new FakeEngine({ ...DEFAULT_ENGINE_OPTIONS, ...options });
    const { server, port } = await listenHttp(
      (request, response, body) => engine.handle(request, response, body),
      engine.options.port,
    );
    engine.server = server;
    engine.listeningPort = port;
    return engine;
  }

  get port(): number {
    return this.listeningPort;
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.streams.size;
  }

  /** Total number of chunks generated for the requests in flight. */
  get chunksInFlight(): number {
    return [...this.streams.values()].reduce(
      (sum, stream) => sum + stream.chunks,
      0,
    );
  }

  /** Stops the engine; streams in progress are cut off. */
  async close(): Promise<void> {
    for (const id of [...this.streams.keys()]) this.end(id);
    if (this.server) await closeHttp(this.server);
  }

  private handle(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> | void {
    const path = request.url ?? "";
    this.requests += 1;
    if (applyAvailability(response, this)) return;
    if (path === "/v1/chat/completions" && this.triggersCrash(body)) {
      this.hasCrashed = true;
      return this.close();
    }
    if (path === "/v1/chat/completions") {
      return this.chat(request, response, body);
    }
    if (path === "/report") return this.sendReport(response);
    if (path === "/orders") return this.applyOrder(response, JSON.parse(body));
    if (path === "/v1/cache") return reply(response, this.cache.getEntries());
    const cancelledId = /^\/v1\/requests\/([^/]+)\/cancel$/.exec(path)?.[1];
    if (!cancelledId) return reply(response, {}, 404);
    const id = decodeURIComponent(cancelledId);
    if (this.streams.get(id)?.attempt === request.headers["x-attempt"]) {
      this.end(id);
    }
    reply(response, {});
  }

  private triggersCrash(body: string): boolean {
    return this.crashTriggerText !== "" && body.includes(this.crashTriggerText);
  }

  private sendReport(response: ServerResponse): void {
    const asOf = Date.now() - this.options.reportLagMs;
    const laggedInFlight =
      this.ledger.loads.findLast(([at]) => at <= asOf)?.[1] ?? 0;
    reply(response, {
      inFlight: laggedInFlight,
      leaving: this.leaving,
      fence: this.fence,
      models: this.models,
    });
  }

  private applyOrder(
    response: ServerResponse,
    order: { fence: number; models: string[] },
  ): void {
    const isAccepted = !this.options.checksFence || order.fence >= this.fence;
    this.ledger.orders.push({ ...order, isAccepted });
    if (!isAccepted) return reply(response, { fence: this.fence }, 409);
    this.fence = order.fence;
    this.models = order.models;
    reply(response, {});
  }

  private async chat(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    const requestId = String(request.headers["x-request-id"]);
    if (this.leaving) {
      this.ledger.declinedAt.push(Date.now());
      response.setHeader("x-not-run", "true");
      return reply(response, { error: "leaving" }, 503);
    }
    const existingStream = this.streams.get(requestId);
    const resumeFrom = Number(request.headers["x-resume-from"] ?? 0);
    if (this.fault === "silent") return;
    const stream = existingStream ??
      this.createStream(requestId, request, body, resumeFrom);
    stream.attempt = String(request.headers["x-attempt"] ?? "");
    this.attachReader(stream, response, requestId, resumeFrom);
    if (!existingStream) await this.generate(stream, requestId);
  }

  private createStream(
    requestId: string,
    request: IncomingMessage,
    body: string,
    resumeFrom: number,
  ): EngineStream {
    const chat = JSON.parse(body) as {
      messages: { content: string }[];
      max_tokens?: number;
    };
    const chatId = String(request.headers["x-chat"] ?? requestId);
    const total = chat.max_tokens ?? DEFAULT_COMPLETION_TOKENS;
    const promptTokens = countTokens(
      chat.messages.map((message) => message.content).join(""),
    );
    const cachedTokens = Math.min(this.cache.getTokens(chatId), promptTokens);
    const key = String(request.headers["idempotency-key"] ?? "");
    const run: LedgerRun = {
      requestId,
      key,
      chat: chatId,
      startedAt: Date.now(),
      endedAt: undefined,
      promptTokens,
      cachedTokens,
      resumeFrom,
      body: "",
    };
    this.ledger.runs.push(run);
    const stream: EngineStream = {
      run,
      prompt: chat.messages.at(-1)?.content ?? "",
      priority: Number(request.headers["x-priority"] ?? 0),
      chunks: resumeFrom,
      total,
      reader: undefined,
      nextIndex: resumeFrom,
      attempt: "",
      abandonedAt: undefined,
    };
    this.streams.set(requestId, stream);
    this.ledger.recordLoad(this.streams.size);
    return stream;
  }

  /** Attaches a reader to the stream, and disconnects the previous reader if there is one. */
  private attachReader(
    stream: EngineStream,
    response: ServerResponse,
    requestId: string,
    resumeFrom: number,
  ): void {
    stream.reader?.destroy();
    stream.reader = response;
    stream.nextIndex = resumeFrom;
    stream.abandonedAt = undefined;
    response.on("close", () => {
      if (stream.reader !== response) return;
      stream.reader = undefined;
      stream.abandonedAt = Date.now();
    });
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "x-request-id": requestId,
    });
    this.flush(stream, requestId);
  }

  private async generate(
    stream: EngineStream,
    requestId: string,
  ): Promise<void> {
    await this.slots.acquire(stream.priority);
    const { prefillMsPerThousand, tokenMs, batchSlowdown } = this.options;
    const uncached = stream.run.promptTokens - stream.run.cachedTokens;
    await delay(this.slowdownFactor * uncached * prefillMsPerThousand / 1000);
    this.cache.put(stream.run.chat, stream.run.promptTokens + stream.total);
    while (stream.chunks < stream.total && this.isActive(stream, requestId)) {
      await delay(
        this.slowdownFactor * tokenMs * (1 + batchSlowdown * this.streams.size),
      );
      stream.chunks += 1;
      this.flush(stream, requestId);
    }
    this.slots.release();
    if (stream.chunks < stream.total) return;
    await this.waitForReader(stream, requestId);
    this.end(requestId);
  }

  private async waitForReader(
    stream: EngineStream,
    requestId: string,
  ): Promise<void> {
    while (
      stream.nextIndex <= stream.total && this.isActive(stream, requestId)
    ) await delay(20);
  }

  private isActive(stream: EngineStream, requestId: string): boolean {
    if (this.streams.get(requestId) !== stream) return false;
    return stream.abandonedAt === undefined ||
      Date.now() - stream.abandonedAt < ABANDONED_STREAM_TTL_MS;
  }

  /** Sends the generated chunks that were not sent yet; after the last one, the usage and the end marker. */
  private flush(stream: EngineStream, requestId: string): void {
    const { reader } = stream;
    if (!reader) return;
    while (stream.nextIndex < stream.chunks) {
      const index = stream.nextIndex++;
      const choices = [{ delta: { content: getChunk(stream.prompt, index) } }];
      this.writeEvent(
        reader,
        this.applyCrossedFault({ id: requestId, index, choices }),
      );
      if (
        this.fault === "truncated" && index === Math.floor(stream.total / 2)
      ) {
        this.fault = "none";
        reader.end();
        return;
      }
    }
    if (stream.chunks < stream.total || stream.nextIndex > stream.total) return;
    const { promptTokens, cachedTokens } = stream.run;
    const usage = {
      prompt_tokens: promptTokens,
      cached_tokens: cachedTokens,
      completion_tokens: stream.total,
    };
    this.writeEvent(reader, {
      id: requestId,
      index: stream.nextIndex++,
      usage,
    });
    reader.end("data: [DONE]\n\n");
  }

  private applyCrossedFault(
    event: { id: string; index: number; choices: unknown },
  ): object {
    if (this.fault !== "crossed") return event;
    this.fault = "none";
    return {
      ...event,
      id: "another-request",
      choices: [{ delta: { content: "somebody else's words " } }],
    };
  }

  private writeEvent(reader: ServerResponse, event: object): void {
    reader.write(`data: ${JSON.stringify(event)}\n\n`);
  }

  private end(requestId: string): void {
    const stream = this.streams.get(requestId);
    if (!stream) return;
    this.streams.delete(requestId);
    stream.run.endedAt = Date.now();
    if (stream.reader && !stream.reader.writableEnded) stream.reader.destroy();
    this.ledger.recordLoad(this.streams.size);
  }
}
