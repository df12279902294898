import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { FakeWorker } from "../fakes/fake_worker.ts";
import { FaultProxy } from "../fakes/fault_proxy.ts";
import { resetSocket } from "../fakes/reset_socket.ts";
import { buildWorkerEntry } from "../fakes/worker_entry.ts";
import type { Random } from "../src/random/random.ts";
import { isCrashingPath } from "./crashing_requests.ts";
import { countEvents, writeEvent, writeWholeAnswer } from "./stream_text.ts";
import type { WorkerLedger } from "./worker_ledger.ts";
import type { WorkerRun } from "./worker_run.ts";

/** What a worker does wrong with part of its requests. */
export type WorkerFault =
  | "none"
  | "errors"
  | "full"
  | "reset"
  | "mute"
  | "cut_short"
  | "surplus"
  | "crossed"
  | "slow";

/** Requests a worker takes at once. */
const SLOTS = 12;
/** Least and most work on a request, in milliseconds. */
const WORK_MS = [3, 25] as const;
/** Least and most pause between two events, in milliseconds. */
const EVENT_PAUSE_MS = [2, 18] as const;
/** Work of a slow worker, as a multiple of the usual. */
const SLOW_FACTOR = 12;
/** Part of its whole answers that end with their connection rather than by a length. */
const UNFRAMED_SHARE = 0.1;
/** Part of its requests with which a faulty worker does wrong. */
const FAULT_SHARE = 0.5;

/** A stand-in of a worker behind a proxy that injects faults, with a ledger of what it ran. */
export class SoakWorker {
  /** What it does wrong. */
  fault: WorkerFault = "none";
  /** Time without requests that it asks for while it turns all away, in milliseconds; undefined where it takes them. */
  backoffMs: number | undefined;
  /** Whether its answers say that it leaves. */
  saysLeaving = false;
  /** Told when a request begins that crashes the worker. */
  onCrashing: () => void = () => undefined;
  private running = 0;

  private constructor(
    private readonly worker: FakeWorker,
    /** The way to it. */
    readonly proxy: FaultProxy,
    /** Service it belongs to. */
    readonly service: string,
    private readonly ledger: WorkerLedger,
    private readonly random: Random,
  ) {}

  /** Starts a worker.
   * @param id Id of this start.
   * @param service Service it belongs to.
   * @param ledger Where it writes what it does with requests.
   * @param random Source of its work and faults.
   * @param proxy Proxy of a worker that is gone, whose address this one takes over. */
  static async create(
    id: string,
    service: string,
    ledger: WorkerLedger,
    random: Random,
    proxy?: FaultProxy,
  ): Promise<SoakWorker> {
    const worker = await FakeWorker.create(id);
    const port = Number(worker.address.split(":")[1]);
    proxy?.setTarget(port);
    const way = proxy ?? await FaultProxy.create(port);
    const soakWorker = new SoakWorker(worker, way, service, ledger, random);
    worker.behaviour = (request, response) =>
      void soakWorker.handle(request, response);
    return soakWorker;
  }

  /** Id of this start. */
  get id(): string {
    return this.worker.id;
  }

  /** What it publishes of itself.
   * @param state `ready` or `draining`. */
  describe(state: "ready" | "draining") {
    return buildWorkerEntry({
      service: this.service,
      address: `127.0.0.1:${this.proxy.port}`,
      slots: SLOTS,
      state,
      startedAt: this.worker.startedAt,
    });
  }

  /** Ends the worker as a crash does; its proxy stays for another at the same address. */
  async crash(): Promise<void> {
    await this.worker.close();
  }

  /** Ends the worker and its proxy. */
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
    if (this.saysLeaving) response.setHeader("Server-Leaving", "1");
    const fault = this.random.fraction() < FAULT_SHARE ? this.fault : "none";
    const isFull = this.running >= SLOTS || fault === "full";
    if (isFull || this.backoffMs !== undefined) {
      return this.turnAway(response, requestId);
    }
    const run = this.startRun(request, requestId);
    this.running += 1;
    response.once("close", () => {
      this.running -= 1;
      run.endedAt = performance.now();
      run.wasCancelled = !response.writableFinished;
    });
    await this.answer(request, response, run, fault);
  }

  private turnAway(response: ServerResponse, requestId: string): void {
    const { id: worker, backoffMs } = this;
    const at = performance.now();
    this.ledger.declines.push({ requestId, worker, at, backoffMs });
    if (backoffMs !== undefined) {
      response.setHeader("Retry-After", String(backoffMs / 1_000));
    }
    decline(response, 503);
  }

  private startRun(request: IncomingMessage, requestId: string): WorkerRun {
    const arrival = this.worker.arrivals.findLast((one) =>
      one.headers === request.headers
    );
    const run: WorkerRun = {
      requestId,
      worker: this.id,
      service: this.service,
      method: request.method ?? "",
      path: request.url ?? "",
      body: arrival?.body ?? "",
      prompt: readPrompt(request),
      customer: getHeader(request, "x-beechkeel-tenant") || undefined,
      afterEvent: Number(getHeader(request, "last-event-id")),
      startedAt: performance.now(),
      endedAt: undefined,
      status: undefined,
      isWhole: false,
      wasCancelled: false,
      saidLeaving: this.saysLeaving,
    };
    this.ledger.runs.push(run);
    return run;
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
    run: WorkerRun,
    fault: WorkerFault,
  ): Promise<void> {
    if (fault === "mute") return;
    await this.work(WORK_MS, fault);
    if (response.destroyed) return;
    if (isCrashingPath(run.path)) return this.onCrashing();
    if (fault === "reset") return resetSocket(request.socket);
    if (fault === "errors") return this.answerError(request, response, run);
    const headers = this.worker.prove(request);
    if (fault === "crossed") {
      headers["X-Beechkeel-Attempt-Id"] = "of-another-request";
    }
    run.status = 200;
    const isStream = getHeader(request, "x-beechkeel-model") !== "";
    if (isStream) await this.answerStream(response, run, headers, fault);
    else this.answerWhole(response, run, headers, fault);
  }

  private answerError(
    request: IncomingMessage,
    response: ServerResponse,
    run: WorkerRun,
  ): void {
    run.status = 500;
    run.isWhole = true;
    response.writeHead(500, this.worker.prove(request)).end("no");
  }

  private answerWhole(
    response: ServerResponse,
    run: WorkerRun,
    headers: Record<string, string>,
    fault: WorkerFault,
  ): void {
    const text = writeWholeAnswer(run.requestId, this.id);
    // What follows an answer without a length would be part of it.
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

  private async answerStream(
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
      const text = writeEvent(run.requestId, event, run.path);
      if (fault === "cut_short" && event === breaksAt) {
        response.write(text.slice(0, text.length / 2));
        if (response.socket) resetSocket(response.socket);
        return;
      }
      response.write(text);
      await this.work(EVENT_PAUSE_MS, fault);
    }
    if (response.destroyed) return;
    response.end();
    run.isWhole = fault === "none" || fault === "slow";
  }

  private async work(
    [least, most]: readonly [number, number],
    fault: WorkerFault,
  ): Promise<void> {
    const factor = fault === "slow" ? SLOW_FACTOR : 1;
    await delay(this.random.integer(least, most) * factor);
  }
}

/** Headers of a prompt, as the caller set them, in one text. */
function readPrompt(request: IncomingMessage): string {
  return ["model", "token-usage", "prefix-hash"].map((name) =>
    getHeader(request, `x-beechkeel-${name}`)
  ).join("|");
}

function getHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return (Array.isArray(value) ? value.join(",") : value) ?? "";
}

/** Says that the request was not run. */
function decline(response: ServerResponse, status: number): void {
  response.writeHead(status, { "X-Beechkeel-Not-Executed": "1" }).end();
}
