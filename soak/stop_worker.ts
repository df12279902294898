import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { FakeWorker } from "../fakes/fake_worker.ts";

/** Prefix of the paths of streams: number of events, pause before each in milliseconds, and bytes of data in each. */
const PATH = /\/chat\/(\d+)\/(\d+(?:\.\d+)?)\/(\d+)\//;

/** A worker that streams as the path of a request says. */
export class StopWorker {
  private constructor(
    readonly worker: FakeWorker,
    private readonly getPaceFactor: () => number,
  ) {}

  /** Starts a worker.
   * @param id Id under which it is published.
   * @param getPaceFactor Returns the factor by which pauses are longer now. */
  static async create(
    id: string,
    getPaceFactor: () => number,
  ): Promise<StopWorker> {
    const worker = await FakeWorker.create(id);
    const stopWorker = new StopWorker(worker, getPaceFactor);
    worker.behaviour = (request, response) =>
      void stopWorker.respond(request, response);
    return stopWorker;
  }

  /** Stops the worker. */
  async close(): Promise<void> {
    await this.worker.close();
  }

  private async respond(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const [, events, pauseMs, bytes] = PATH.exec(request.url ?? "") ?? [];
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    response.writeHead(200, {
      ...this.worker.buildSealHeaders(request),
      "content-type": "text/event-stream",
    });
    const data = "x".repeat(Number(bytes));
    for (let event = first; event <= Number(events); event++) {
      await delay(Number(pauseMs) * this.getPaceFactor());
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${event}/${events} ${data}\n\n`);
    }
    response.end();
  }
}
