import test from "ava";
import { connect, type Socket } from "node:net";
import { once } from "node:events";
import { setTimeout as delay } from "node:timers/promises";
import { call } from "./call.ts";
import { waitForStatus } from "./wait_for_gateway.ts";
import { type TestGateway, withGateways } from "./with_gateways.ts";

const KEY = "key-1";
/** Time that the stop may take, in milliseconds. */
const STOP_TIMEOUT_MS = 5_000;

async function openCaller(gateway: TestGateway): Promise<Socket> {
  const [host, port] = gateway.settings.callerAddress.split(":");
  const socket = connect(Number(port), host!);
  socket.on("error", () => undefined);
  await once(socket, "connect");
  return socket;
}

function formatHead(id: string, deadlineMs: number, bodyBytes: number): string {
  return [
    "POST /a/b HTTP/1.1",
    "host: a.example",
    `x-beechkeel-attempt-id: ${id}`,
    `x-beechkeel-deadline-ms: ${deadlineMs}`,
    `x-api-key: ${KEY}`,
    `content-length: ${bodyBytes}`,
    "",
    "",
  ].join("\r\n");
}

// Guards against requests that the end of a stop drops, although it could refuse them as not run.
test("the end of a stop refuses a request whose body is still arriving", async (t) => {
  await withGateways(async (fleet) => {
    const worker = await fleet.startWorker("s", "h", 100);
    worker.behaviour = (request, response) => {
      setTimeout(() => {
        response.writeHead(200, worker.buildSealHeaders(request));
        response.end("ok");
      }, 100);
    };
    fleet.publishConfiguration(1, [KEY], { timeout_ms: 8_000 });
    const gateway = await fleet.startGateway({
      stopTimeoutMs: STOP_TIMEOUT_MS,
    });
    await waitForStatus(gateway, KEY, 200);
    await call(gateway, KEY);
    const caller = await openCaller(gateway);
    let received = "";
    caller.on("data", (part) => received += String(part));
    caller.write(formatHead("slow", 8_000, 100) + "ab");
    await delay(200);
    const closed = once(caller, "close");
    await gateway.gateway.drain();
    await closed;
    t.regex(received, /^HTTP\/1\.1 503 /);
    t.regex(received, /draining/i);
  });
});
