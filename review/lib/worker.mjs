// Stand-in for a worker: runs requests under its own id and keeps a ledger of them.
import { createServer } from "node:http";
import { once } from "node:events";

export class Worker {
  /** Requests that it started to work on, in order. */
  runs = [];
  server = createServer((request, response) => this.handle(request, response));

  static async create(id, service, run, options = {}) {
    const worker = new Worker();
    Object.assign(worker, { id, service, run, slots: 64, zone: "kariakoo", version: "v1", ...options });
    worker.server.keepAliveTimeout = 10_000;
    worker.server.listen(worker.port ?? 0, "127.0.0.1");
    await once(worker.server, "listening");
    worker.port = worker.server.address().port;
    worker.address = `127.0.0.1:${worker.port}`;
    return worker;
  }

  entry(state = "ready", sequence = 1) {
    const { service, address, zone, version, slots } = this;
    return { service, address, zone, version, slots, state, cold_left_ms: 0, stage: "both", models: [{ name: "m", version: 1, adapters: [] }], sequence };
  }

  /** Head of an answer to a request. */
  sealed(request, headers = {}) {
    return {
      "X-Beechkeel-Attempt-Id": request.headers["x-beechkeel-attempt-id"],
      "X-Beechkeel-Response-Seal": `seal-${this.id}-${request.headers["x-beechkeel-attempt-id"]}`,
      ...headers,
    };
  }

  /** Crashes: all channels end, and nothing listens any more. */
  crash() {
    this.server.close();
    this.server.closeAllConnections();
  }

  async handle(request, response) {
    const chunks = [];
    request.on("error", () => undefined);
    response.on("error", () => undefined);
    for await (const chunk of request) chunks.push(chunk);
    if (request.url === "/healthz") {
      return response.writeHead(200, { "X-Beechkeel-Instance-Id": this.id }).end();
    }
    if (request.url === "/report") {
      response.writeHead(200, { "Content-Type": "application/json" });
      return response.end(JSON.stringify({ stage: "both", models: [{ name: "m", version: 1, adapters: [] }], utilization: false, sequence: 1, queued: 0, active: 0, kv_used: 0, kv_total: 400000, handles: 0 }));
    }
    if (request.url === "/kv-list") {
      response.writeHead(200, { "Content-Type": "application/json" });
      return response.end(JSON.stringify({ epoch: 1, next_token: 1, held: [] }));
    }
    const expected = request.headers["x-beechkeel-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      return response.writeHead(421, { "X-Beechkeel-Instance-Id": this.id }).end();
    }
    const id = request.headers["x-beechkeel-attempt-id"];
    if (id === undefined) return response.writeHead(400, { "X-Beechkeel-Not-Executed": "1" }).end();
    this.run(request, response, Buffer.concat(chunks), this);
  }
}
