import type { IncomingMessage, ServerResponse } from "node:http";
import { randomUUID } from "node:crypto";
import type { FakeWorker, WorkerBehaviour } from "../../fakes/fake_worker.ts";
import { call, type CallResult } from "./call.ts";
import type { TestGateway } from "./with_gateways.ts";

/** Id of the part that crashes each worker that starts to answer a prompt with it. */
const CRASHING_PART = "bad";
/** Ids of the other parts in second place. */
const OTHER_PARTS = ["p0", "p1", "p2", "p3", "p4"] as const;
const EVENT = "id: 1\ndata: x\n\n";

/** Ways in which a worker crashes on a prompt. */
export const CRASH_KINDS: Readonly<Record<string, WorkerBehaviour>> = {
  "before any byte": (_request, _response, worker) => worker.crash(),
  "after the head of the response": (request, response, worker) => {
    response.writeHead(200, buildStreamHeaders(request, worker));
    response.flushHeaders();
    setImmediate(() => worker.crash());
  },
  "after the head of a response without a length": (
    request,
    response,
    worker,
  ) => {
    writeUnframed(response, buildStreamHeaders(request, worker), "");
    setImmediate(() => worker.crash());
  },
};

/** Writes a response with neither a length nor chunks, which ends with its connection.
 * @param response The response.
 * @param headers Its headers.
 * @param body Its body so far. */
export function writeUnframed(
  response: ServerResponse,
  headers: Record<string, string>,
  body: string,
): void {
  response.removeHeader("transfer-encoding");
  response.shouldKeepAlive = false;
  response.writeHead(200, headers);
  response.flushHeaders();
  if (body !== "") response.write(body);
}

/** Responds with one event, without a length, and ends the connection in order. */
export const respondUnframed: WorkerBehaviour = (request, response, worker) => {
  writeUnframed(response, buildStreamHeaders(request, worker), EVENT);
  response.end();
};

/** Creates a behaviour that responds with one event, and crashes on prompts with the crashing part.
 * @param crash Crashes the worker. */
export function crashOnPart(crash: WorkerBehaviour): WorkerBehaviour {
  return (request, response, worker) => {
    if (isCrashing(worker)) return crash(request, response, worker);
    response.writeHead(200, buildStreamHeaders(request, worker));
    response.end(EVENT);
  };
}

/** Sends a prompt that crashes workers; no two are alike.
 * @param gateway The gateway.
 * @param key Key of the customer. */
export function sendCrashing(
  gateway: TestGateway,
  key: string,
): Promise<CallResult> {
  return sendPrompt(gateway, key, CRASHING_PART);
}

/** Sends a prompt that shares its customer and first part with the crashing ones.
 * @param gateway The gateway.
 * @param key Key of the customer.
 * @param index Selects the other parts. */
export function sendSound(
  gateway: TestGateway,
  key: string,
  index: number,
): Promise<CallResult> {
  const part = OTHER_PARTS[index % OTHER_PARTS.length]!;
  return sendPrompt(gateway, key, part);
}

/** Returns the headers of a stream that belongs to a request.
 * @param request The request.
 * @param worker The worker that responds. */
export function buildStreamHeaders(
  request: IncomingMessage,
  worker: FakeWorker,
): Record<string, string> {
  return {
    ...worker.buildSealHeaders(request),
    "Content-Type": "text/event-stream",
  };
}

function sendPrompt(
  gateway: TestGateway,
  key: string,
  part: string,
): Promise<CallResult> {
  const unique = randomUUID().slice(0, 8);
  return call(gateway, key, {
    path: `/a/${unique}`,
    headers: {
      "x-beechkeel-model": "m",
      "x-beechkeel-token-usage": "500,10",
      "x-beechkeel-prefix-hash": `a:300,${part}:150,${unique}:50`,
    },
    body: unique,
  });
}

function isCrashing({ arrivals }: FakeWorker): boolean {
  const parts = arrivals.at(-1)?.headers["x-beechkeel-prefix-hash"];
  return String(parts).includes(`,${CRASHING_PART}:`);
}
