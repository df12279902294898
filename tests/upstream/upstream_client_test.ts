import { createServer, type Server } from "node:http";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import test from "ava";
import {
  UpstreamClient,
  type UpstreamRequest,
} from "../../src/upstream/upstream_client.ts";
import { buildService } from "../owner/build_fleet.ts";

/** Longer than a test takes, in milliseconds. */
const LONG_MS = 60_000;

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

/** Starts a server that aborts a request once it has it, then answers. */
async function serveAborted(
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

async function chatAborted(status: number, headers: Record<string, string>) {
  const controller = new AbortController();
  const server = await serveAborted(controller, status, headers);
  const { port } = server.address() as AddressInfo;
  const client = UpstreamClient.create(buildService(port), LONG_MS);
  const chat = client.streamChat(buildRequest(controller.signal));
  const error = await chat.next().then(() => undefined, (thrown) => thrown);
  const hasBackoff = client.availability.getBackoffMs(performance.now()) > 0;
  await client.close();
  server.closeAllConnections();
  server.close();
  return { error, hasBackoff };
}

// A caller that left closed the connection on which the upstream was asking for a backoff, and the next requests went there.
test("an aborted request still records the backoff of a decline", async (t) => {
  const { error, hasBackoff } = await chatAborted(503, {
    "x-not-run": "true",
    "retry-after": "5",
  });
  t.truthy(error);
  t.true(hasBackoff);
});

test("an aborted request ends once its answer begins", async (t) => {
  const { error, hasBackoff } = await chatAborted(200, {
    "x-request-id": "r-1",
  });
  t.truthy(error);
  t.false(hasBackoff);
});
