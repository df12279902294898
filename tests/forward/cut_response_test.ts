import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import test from "ava";
import { platformHeaderCodec } from "../../platform/header_codec.ts";
import { Attempt } from "../../src/forward/attempt.ts";
import { Upstream } from "../../src/upstreams/upstream.ts";
import { buildUpstream } from "../published/build_published.ts";
import { buildResponseForms, WHOLE_BODY } from "./cut_responses.ts";

const REQUEST_ID = "r-1";
const REQUEST = {
  method: "GET",
  path: "/a/",
  headers: ["Host", "a.example"],
  body: undefined,
  requestId: REQUEST_ID,
  mayRunAgain: true,
  continuesStream: false,
};
const CONTEXT = {
  codec: platformHeaderCodec,
  isRunning: () => Promise.resolve(true),
  maySendTo: () => true,
  recordSlowdown: () => undefined,
  recordConnectionResponse: () => undefined,
  trustsIdleConnections: () => true,
};
const FIELDS = [
  `X-Beechkeel-Attempt-Id: ${REQUEST_ID}`,
  "X-Beechkeel-Response-Seal: 1.2.3",
];

/** Starts an upstream that sends the beginning of a response and then closes the connection in order. */
async function serveBeginning(
  text: string,
  length: number,
): Promise<{ server: Server; upstream: Upstream }> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => socket.end(text.slice(0, length)));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const published = buildUpstream({ address: `127.0.0.1:${port}` });
  return { server, upstream: Upstream.create(published) };
}

/** Receives the beginning of a response; resolves with the body if it counts as complete. */
async function receive(
  text: string,
  length: number,
): Promise<string | undefined> {
  const { server, upstream } = await serveBeginning(text, length);
  const body = await new Promise<string | undefined>((resolve) => {
    let received = "";
    Attempt.create(upstream, REQUEST, CONTEXT, {
      onHead: () => undefined,
      onBytes: (bytes) => received += String(bytes),
      onEnd: () => resolve(received),
      onFailure: () => resolve(undefined),
      onLateDecline: () => undefined,
    });
  });
  upstream.close();
  server.close();
  return body;
}

// Guards against responses that are cut in their head or framing and passed on as complete.
for (const [form, text] of Object.entries(buildResponseForms(FIELDS))) {
  test(`a response with ${form} is complete only at its end`, async (t) => {
    for (let length = 0; length < text.length; length++) {
      t.is(await receive(text, length), undefined, text.slice(0, length));
    }
    t.is(await receive(text, text.length), WHOLE_BODY);
  });
}
