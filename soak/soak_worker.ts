import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import {
  ENDLESS_RESPONSES,
  ENDLESS_STREAMS,
  writeEndlessResponse,
} from "../fakes/endless_response.ts";
import { FakeWorker } from "../fakes/fake_worker.ts";
import { FaultProxy } from "../fakes/fault_proxy.ts";
import { resetSocket } from "../fakes/reset_socket.ts";
import { buildWorkerEntry } from "../fakes/worker_entry.ts";
import type { Random } from "../src/random/random.ts";
import { crashesWorkers } from "./crashing_requests.ts";
import { getPromptTokens } from "./prompt_size.ts";
import { countEvents, formatEvent, formatResponse } from "./stream_text.ts";
import type { WorkerLedger } from "./worker_ledger.ts";
import { WorkerLoad } from "./worker_load.ts";
import type { WorkerRun } from "./worker_run.ts";

/** A fault with which a worker handles some of its requests. */
export type WorkerFault =
  | "none"
  | "errors"
  | "full"
  | "reset"
  | "mute"
  | "cut_short"
  | "surplus"
  | "crossed"
  | "slow"
  | "endless";

/** Range of the duration of work on a request, in milliseconds. */
const WORK_RANGE_MS = [3, 25] as const;
/** Range of the pause between two events, in milliseconds. */
const EVENT_PAUSE_RANGE_MS = [2, 18] as const;
/** Factor by which work takes longer on a slow worker. */
const SLOW_FACTOR = 12;
/** Share of the non-streamed responses that are delimited by the end of the connection rather than by a length. */
const UNFRAMED_SHARE = 0.1;
/** Share of its requests to which a faulty worker applies its fault. */
const FAULT_SHARE = 0.5;

/** A fake worker behind a fault-injecting proxy, with a ledger of what it ran and declined. */
export class SoakWorker {
  /** Fault applied to a share of the requests. */
  fault: WorkerFault = "none";
  /** Backoff that it asks for while it declines all requests, in milliseconds; undefined if it accepts them. */
  backoffMs: number | undefined;
  /** Whether its responses announce that it leaves. */
  announcesLeaving = false;
  /** Called when the worker starts to run a request that crashes it. */
  onCrashRequest: () => void = () => undefined;
  /** Its room and speed; replaced before its entry is published. */
  load = WorkerLoad.createSteady();

  private constructor(
    private readonly worker: FakeWorker,
    /** Proxy in front of the worker. */
    readonly proxy: FaultProxy,
    /** Service that it belongs to. */
    readonly service: string,
    private readonly ledger: WorkerLedger,
    private readonly random: Random,
  ) {}

  /** Starts a worker.
   * @param id Id under which it is published.
   * @param service Service that it belongs to.
   * @param ledger Ledger of the requests that it runs and declines.
   * @param random Source of randomness.
   * @param version Software version that it publishes.
   * @param proxy Proxy of a stopped worker whose address this one takes over. */
  static async create(
    id: string,
    service: string,
    ledger: WorkerLedger,
    random: Random,
    version: string,
    proxy?: FaultProxy,
  ): Promise<SoakWorker> {
    const worker = await FakeWorker.create(id);
    worker.version = version;
    const port = Number(worker.address.split(":")[1]);
    proxy?.setTarget(port);
    const workerProxy = proxy ?? await FaultProxy.create(port);
    const soakWorker = new SoakWorker(
      worker,
      workerProxy,
      service,
      ledger,
      random,
    );
    worker.behaviour = (request, response) =>
      void soakWorker.handle(request, response);
    return soakWorker;
  }

  /** Id under which it is published. */
  get id(): string {
    return this.worker.id;
  }

  /** Builds its entry in the store.
   * @param state State in the entry. */
  buildEntry(state: "ready" | "draining") {
    return buildWorkerEntry({
      service: this.service,
      address: `127.0.0.1:${this.proxy.port}`,
      slots: this.load.room.slots,
      state,
      startedAt: this.worker.startedAt,
      version: this.worker.version,
    });
  }

  /** Stops the worker as a crash does. Its proxy stays open for another worker at the same address. */
  async crash(): Promise<void> {
    await this.worker.close();
  }

  /** Stops the worker and its proxy. */
  async close(): Promise<void> {
    await this.worker.close();
    this.proxy.close();
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = getHeader(request, "x-beechkeel-attempt-id");
    if (requestId === "") return decline(response, 400);
    if (this.announcesLeaving) response.setHeader("Server-Leaving", "1");
    for (const [name, value] of Object.entries(this.load.headers)) {
      response.setHeader(name, value);
    }
    const fault = this.random.fraction() < FAULT_SHARE ? this.fault : "none";
    const isFull = this.load.room.isFull || fault === "full";
    if (isFull || this.backoffMs !== undefined) {
      return this.declineRequest(response, requestId);
    }
    const run = this.startRun(request, requestId);
    const place = this.load.room.enter();
    response.once("close", () => {
      place.leave();
      run.endedAt = performance.now();
      run.wasCancelled = !response.writableFinished;
    });
    await place.whenStarted;
    if (!response.destroyed) await this.respond(request, response, run, fault);
  }

  private declineRequest(response: ServerResponse, requestId: string): void {
    const { id: worker, backoffMs } = this;
    const at = performance.now();
    this.ledger.declines.push({ requestId, worker, at, backoffMs });
    if (backoffMs !== undefined) {
      response.setHeader("Retry-After", String(backoffMs / 1_000));
    }
    decline(response, 503);
  }

  private startRun(request: IncomingMessage, requestId: string): WorkerRun {
    const arrival = this.worker.arrivals.findLast((candidate) =>
      candidate.headers === request.headers
    );
    const run: WorkerRun = {
      requestId,
      worker: this.id,
      service: this.service,
      method: request.method ?? "",
      path: request.url ?? "",
      body: arrival?.body ?? "",
      prompt: joinPromptHeaders(request),
      customer: getHeader(request, "x-beechkeel-tenant") || undefined,
      afterEvent: Number(getHeader(request, "last-event-id")),
      startedAt: performance.now(),
      endedAt: undefined,
      status: undefined,
      isWhole: false,
      wasCancelled: false,
      saidLeaving: this.announcesLeaving,
    };
    this.ledger.runs.push(run);
    return run;
  }

  private async respond(
    request: IncomingMessage,
    response: ServerResponse,
    run: WorkerRun,
    fault: WorkerFault,
  ): Promise<void> {
    if (fault === "mute") return;
    await this.prepare(run);
    await this.work(WORK_RANGE_MS, fault);
    if (response.destroyed) return;
    if (crashesWorkers(run)) return this.onCrashRequest();
    if (fault === "reset") return resetSocket(request.socket);
    if (fault === "endless") return this.sendEndless(request);
    if (fault === "errors") return this.sendError(request, response, run);
    const headers = this.worker.buildSealHeaders(request);
    if (fault === "crossed") {
      headers["X-Beechkeel-Attempt-Id"] = "of-another-request";
    }
    run.status = 200;
    const isStream = getHeader(request, "x-beechkeel-model") !== "";
    if (isStream) await this.sendStream(response, run, headers, fault);
    else this.sendPlainResponse(response, run, headers, fault);
  }

  private sendEndless(request: IncomingMessage): void {
    // Events that a sound worker did not send would count as events of its stream.
    const kinds = Object.keys(ENDLESS_RESPONSES).filter((kind) =>
      !ENDLESS_STREAMS.has(kind)
    );
    const kind = this.random.pick(kinds);
    const headers = this.worker.buildSealHeaders(request);
    writeEndlessResponse(request.socket, kind, headers);
  }

  private sendError(
    request: IncomingMessage,
    response: ServerResponse,
    run: WorkerRun,
  ): void {
    run.status = 500;
    run.isWhole = true;
    response.writeHead(500, this.worker.buildSealHeaders(request)).end("no");
  }

  private sendPlainResponse(
    response: ServerResponse,
    run: WorkerRun,
    headers: Record<string, string>,
    fault: WorkerFault,
  ): void {
    const text = formatResponse(run.requestId, this.id);
    // Surplus bytes after a response without a length would be part of that response.
    const isUnframed = fault !== "surplus" &&
      this.random.fraction() < UNFRAMED_SHARE;
    if (isUnframed) response.shouldKeepAlive = false;
    response.useChunkedEncodingByDefault = !isUnframed;
    response.writeHead(200, headers);
    if (fault === "cut_short") {
      response.write(text.slice(0, text.length / 2));
      if (response.socket) resetSocket(response.socket);
      return;
    }
    const { socket } = response;
    response.end(text);
    if (fault === "surplus") socket?.write("HTTP/1.1 200 OK\r\n\r\n");
    run.isWhole = fault === "none" || fault === "slow";
  }

  private async sendStream(
    response: ServerResponse,
    run: WorkerRun,
    headers: Record<string, string>,
    fault: WorkerFault,
  ): Promise<void> {
    response.writeHead(200, {
      ...headers,
      "content-type": "text/event-stream",
    });
    const count = countEvents(run.path);
    const breaksAt = this.random.integer(run.afterEvent + 1, count + 1);
    for (let event = run.afterEvent + 1; event <= count; event++) {
      if (response.destroyed) return;
      const { requestId, path } = run;
      const text = formatEvent(requestId, event, path, this.worker.version);
      if (fault === "cut_short" && event === breaksAt) {
        response.write(text.slice(0, text.length / 2));
        if (response.socket) resetSocket(response.socket);
        return;
      }
      response.write(text);
      await this.work(EVENT_PAUSE_RANGE_MS, fault);
    }
    if (response.destroyed) return;
    response.end();
    run.isWhole = fault === "none" || fault === "slow";
  }

  private async work(
    [min, max]: readonly [number, number],
    fault: WorkerFault,
  ): Promise<void> {
    const factor = fault === "slow" ? SLOW_FACTOR : 1;
    await delay(this.random.integer(min, max) * factor * this.load.workFactor);
  }

  private async prepare({ prompt }: WorkerRun): Promise<void> {
    const baseMs = this.load.getPreparationMs(getPromptTokens(prompt));
    if (baseMs > 0) await delay(baseMs * this.load.workFactor);
  }
}

/** Joins the values of the prompt headers of a request with `|`. */
function joinPromptHeaders(request: IncomingMessage): string {
  return ["model", "token-usage", "prefix-hash"].map((name) =>
    getHeader(request, `x-beechkeel-${name}`)
  ).join("|");
}

function getHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return (Array.isArray(value) ? value.join(",") : value) ?? "";
}

/** Sends a response stating that the request was not executed. */
function decline(response: ServerResponse, status: number): void {
  response.writeHead(status, { "X-Beechkeel-Not-Executed": "1" }).end();
}
