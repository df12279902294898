import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { closeHttp, listenHttp } from "./http_fake.ts";

/** Path of the liveness check. */
const HEALTH_PATH = "/healthz";

/** Handles the requests of a fake worker. */
export type WorkerBehaviour = (
  request: IncomingMessage,
  response: ServerResponse,
  worker: FakeWorker,
) => void;

/** One request as a worker received it. */
export interface WorkerArrival {
  method: string;
  path: string;
  headers: IncomingMessage["headers"];
  body: string;
}

/** A fake worker that uses the platform's headers. */
export class FakeWorker {
  /** Requests received, in order of arrival, without those addressed to another instance. */
  readonly arrivals: WorkerArrival[] = [];
  /** Handler of the requests. */
  behaviour: WorkerBehaviour = respondSuccessfully;
  /** Start time that the worker reports, in Unix milliseconds. */
  startedAt = Date.now();
  /** Software version that the worker publishes. */
  version = "v1";
  /** Id that it states in liveness checks; differs from its own if another worker has taken over the address. */
  answeringId: string;
  /** Whether `crash` was called. */
  hasCrashed = false;

  private constructor(
    /** Id under which it is published. */
    readonly id: string,
    private readonly server: Server,
    /** Address as ip:port. */
    readonly address: string,
  ) {
    this.answeringId = id;
  }

  /** Starts a worker.
   * @param id Id under which it is published. */
  static async create(id: string): Promise<FakeWorker> {
    const { server, port } = await listenHttp((request, response, body) =>
      worker.handle(request, response, body)
    );
    const worker = new FakeWorker(id, server, `127.0.0.1:${port}`);
    return worker;
  }

  /** Headers that seal a response: the attempt id and the response seal, without which a response does not count.
   * @param request The request that the response belongs to. */
  buildSealHeaders(request: IncomingMessage): Record<string, string> {
    return {
      "X-Beechkeel-Attempt-Id": String(
        request.headers["x-beechkeel-attempt-id"],
      ),
      "X-Beechkeel-Response-Seal": `proof of ${this.id}`,
    };
  }

  /** Simulates a crash of the process: all connections close and new ones are refused. */
  crash(): void {
    if (this.hasCrashed) return;
    this.hasCrashed = true;
    void closeHttp(this.server);
  }

  /** Stops the worker. */
  async close(): Promise<void> {
    await closeHttp(this.server);
  }

  private handle(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): void {
    if (request.url === HEALTH_PATH) {
      const id = this.answeringId;
      response.writeHead(200, { "X-Beechkeel-Instance-Id": id }).end();
      return;
    }
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

/** Responds with the worker's id and the headers that seal the response. */
export const respondSuccessfully: WorkerBehaviour = (
  request,
  response,
  worker,
) => {
  response.writeHead(200, worker.buildSealHeaders(request));
  response.end(worker.id);
};

/** Responds with an error, after which the request counts as run. */
export const respondWithError: WorkerBehaviour = (
  request,
  response,
  worker,
) => {
  response.writeHead(500, worker.buildSealHeaders(request));
  response.end();
};

/** Builds a behaviour that declines each request as not executed.
 * @param headers Further headers of the responses. */
export function declineRequests(
  headers: Record<string, string> = {},
): WorkerBehaviour {
  return (_request, response) => {
    response.writeHead(503, { "X-Beechkeel-Not-Executed": "1", ...headers });
    response.end();
  };
}
