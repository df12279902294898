import { createServer, type Server } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import test from "ava";
import {
  UpstreamClient,
  type UpstreamRequest,
} from "../../src/upstream/upstream_client.ts";
import { buildResponseForms, WHOLE_BODY } from "../forward/cut_responses.ts";
import { buildService } from "../owner/build_fleet.ts";

/** Stall timeout longer than a test takes, in milliseconds. */
const STALL_TIMEOUT_MS = 60_000;

function buildRequest(signal: AbortSignal): UpstreamRequest {
  return {
    requestId: "r-1",
    method: "POST",
    path: "/v1/chat/completions",
    headers: {},
    body: new Uint8Array(),
    priority: 1,
    repeatable: true,
    resumeFrom: 0,
    attempt: "a-1",
    signal,
  };
}

/** Starts a server that aborts each request when it receives it, then answers. */
async function startAbortingServer(
  controller: AbortController,
  status: number,
  headers: Record<string, string>,
): Promise<Server> {
  const server = createServer((request, response) => {
    request.resume();
    controller.abort();
    setImmediate(() => response.writeHead(status, headers).write("x"));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return server;
}

async function runAbortedChat(status: number, headers: Record<string, string>) {
  const controller = new AbortController();
  const server = await startAbortingServer(controller, status, headers);
  const { port } = server.address() as AddressInfo;
  const client = UpstreamClient.create(buildService(port), STALL_TIMEOUT_MS);
  const chat = client.streamChat(buildRequest(controller.signal));
  const error = await chat.next().then(() => undefined, (thrown) => thrown);
  const hasBackoff = client.availability.getBackoffMs(performance.now()) > 0;
  await client.close();
  server.closeAllConnections();
  server.close();
  return { error, hasBackoff };
}

// If a caller's abort closed the connection before the decline arrived, its backoff would be lost and the next requests
// would be sent to the same upstream.
test("an aborted request still records the backoff of a decline", async (t) => {
  const { error, hasBackoff } = await runAbortedChat(503, {
    "x-not-run": "true",
    "retry-after": "5",
  });
  t.truthy(error);
  t.true(hasBackoff);
});

test("an aborted request ends as soon as its response begins", async (t) => {
  const { error, hasBackoff } = await runAbortedChat(200, {
    "x-request-id": "r-1",
  });
  t.truthy(error);
  t.false(hasBackoff);
});

/** Calls a service whose response has neither a length nor chunks; returns its body, or the detail of the error. */
async function callUnframed(crashesWithin: boolean): Promise<string> {
  const server = createServer((_request, response) => {
    response.removeHeader("transfer-encoding");
    response.shouldKeepAlive = false;
    response.writeHead(200, { "x-request-id": "r-1" });
    response.write("half ");
    if (!crashesWithin) return void response.end("whole");
    setImmediate(() => {
      server.close();
      server.closeAllConnections();
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const client = UpstreamClient.create(buildService(port), STALL_TIMEOUT_MS);
  const request = buildRequest(new AbortController().signal);
  const text = await client.call({ ...request, repeatable: false }).then(
    ({ body }) => body.toString(),
    (error) => (error as Error).message,
  );
  await client.close();
  server.close();
  return text;
}

// Guards against half of a response that is passed on as complete because its upstream crashed within it.
test("a response without a length is complete only if its upstream still runs", async (t) => {
  t.is(await callUnframed(false), "half whole");
  t.regex(await callUnframed(true), /no length/);
});

/** Calls a service that sends the beginning of a response and then closes the connection in order; returns the body if
 * it counts as complete. */
async function callCut(
  text: string,
  length: number,
): Promise<string | undefined> {
  const server = createTcpServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => socket.end(text.slice(0, length)));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const client = UpstreamClient.create(buildService(port), STALL_TIMEOUT_MS);
  const request = buildRequest(new AbortController().signal);
  const body = await client.call({ ...request, repeatable: false }).then(
    (response) => response.body.toString(),
    () => undefined,
  );
  await client.close();
  server.close();
  return body;
}

// Guards against responses that are cut in their head or framing and passed on as complete.
for (
  const [form, text] of Object.entries(
    buildResponseForms(["x-request-id: r-1"]),
  )
) {
  test(`a response of a service with ${form} is complete only at its end`, async (t) => {
    for (let length = 0; length < text.length; length++) {
      t.is(await callCut(text, length), undefined, text.slice(0, length));
    }
    t.is(await callCut(text, text.length), WHOLE_BODY);
  });
}
