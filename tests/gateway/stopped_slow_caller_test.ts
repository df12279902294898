import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { RawCaller } from "../http/raw_caller.ts";
import { waitForStatus } from "./wait_for_gateway.ts";
import { withGateways } from "./with_gateways.ts";

const KEY = "key-1";
/** Time that the stop may take, in milliseconds: enough for a caller that starts to read late. */
const STOP_TIMEOUT_MS = 20_000;
/** Size of a body that the kernel does not take while its caller does not read. */
const BODY_BYTES = 4_000_000;
const POLL_INTERVAL_MS = 20;

/** Resolves when no connection to a port is accepted. */
async function waitUntilRefused(port: number): Promise<void> {
  for (;;) {
    const probe = await RawCaller.create(port).catch(() => undefined);
    if (!probe) return;
    probe.close();
    await delay(POLL_INTERVAL_MS);
  }
}

// Guards against responses that count as answered and are cut, because their callers have not read them yet.
test("a stopping host sends a response whole to a caller that reads slowly", async (t) => {
  await withGateways(async (fleet) => {
    const worker = await fleet.startWorker("s");
    worker.behaviour = (request, response) => {
      response.writeHead(200, worker.buildSealHeaders(request));
      response.end(Buffer.alloc(BODY_BYTES, "a"));
    };
    fleet.publishConfiguration(1, [KEY]);
    const stopping = await fleet.startGateway({
      stopTimeoutMs: STOP_TIMEOUT_MS,
    });
    await waitForStatus(stopping, KEY, 200);
    const port = Number(stopping.settings.callerAddress.split(":")[1]);
    worker.arrivals.length = 0;
    const caller = await RawCaller.create(port);
    caller.pause();
    caller.write(
      "POST /a/b HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: key-1\r\n" +
        "X-Beechkeel-Attempt-Id: a-1\r\nX-Beechkeel-Deadline-Ms: 8000\r\n" +
        "Content-Length: 0\r\n\r\n",
    );
    const stopped = stopping.gateway.drain();
    await waitUntilRefused(port);
    caller.resume();
    await Promise.all([stopped, caller.waitForEnd()]);
    t.deepEqual(caller.statuses, [200]);
    t.is(
      caller.received.length - caller.received.indexOf("\r\n\r\n") - 4,
      BODY_BYTES,
    );
    t.false(caller.wasReset);
  });
});
