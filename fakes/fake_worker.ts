import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { closeHttp, listenHttp } from "./http_fake.ts";

/** What a worker does with a request beside answering it well. */
export type WorkerBehaviour = (
  request: IncomingMessage,
  response: ServerResponse,
  worker: FakeWorker,
) => void;

/** One request as a worker got it. */
export interface WorkerArrival {
  method: string;
  path: string;
  headers: IncomingMessage["headers"];
  body: string;
}

/** A small stand-in of a worker that speaks the platform's headers. */
export class FakeWorker {
  /** The requests that were run, in their order. */
  readonly arrivals: WorkerArrival[] = [];
  /** What it does with requests. */
  behaviour: WorkerBehaviour = answerWell;
  /** Unix milliseconds of its start, as it tells them. */
  startedAt = Date.now();
  /** Whether it has crashed. */
  hasCrashed = false;

  private constructor(
    /** Id under which it is published. */
    readonly id: string,
    private readonly server: Server,
    /** Address as ip:port. */
    readonly address: string,
  ) {}

  /** Starts a worker.
   * @param id Id under which it is published. */
  static async create(id: string): Promise<FakeWorker> {
    const { server, port } = await listenHttp((request, response, body) =>
      worker.handle(request, response, body)
    );
    const worker = new FakeWorker(id, server, `127.0.0.1:${port}`);
    return worker;
  }

  /** Headers of an answer that counts as whole.
   * @param request The request that is answered. */
  prove(request: IncomingMessage): Record<string, string> {
    return {
      "X-Beechkeel-Attempt-Id": String(
        request.headers["x-beechkeel-attempt-id"],
      ),
      "X-Beechkeel-Response-Seal": `proof of ${this.id}`,
    };
  }

  /** Ends as a process does that crashes: all connections close and no new one is taken. */
  crash(): void {
    if (this.hasCrashed) return;
    this.hasCrashed = true;
    void closeHttp(this.server);
  }

  /** Ends the worker. */
  async close(): Promise<void> {
    await closeHttp(this.server);
  }

  private handle(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): void {
    const expected = request.headers["x-beechkeel-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "X-Beechkeel-Instance-Id": this.id }).end();
      return;
    }
    this.arrivals.push({
      method: request.method ?? "",
      path: request.url ?? "",
      headers: request.headers,
      body,
    });
    this.behaviour(request, response, this);
  }
}

/** Answers with the worker's id and the proof. */
export const answerWell: WorkerBehaviour = (request, response, worker) => {
  response.writeHead(200, worker.prove(request));
  response.end(worker.id);
};

/** Turns each request away as not run.
 * @param headers What it says besides. */
export function turnAway(
  headers: Record<string, string> = {},
): WorkerBehaviour {
  return (_request, response) => {
    response.writeHead(503, { "X-Beechkeel-Not-Executed": "1", ...headers });
    response.end();
  };
}
