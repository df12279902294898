import { setTimeout as delay } from "node:timers/promises";
import { randomUUID } from "node:crypto";
import test from "ava";
import { respondSuccessfully } from "../../fakes/fake_worker.ts";
import { freezeProcess, RawCaller } from "../http/raw_caller.ts";
import { waitUntilServing } from "./wait_for_gateway.ts";
import { type GatewayFleet, withGateways } from "./with_gateways.ts";

const KEY = "k";
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 1_500,
  idle_timeout_ms: 15_000,
};
/** More than Node's interval of checks beyond the header timeout, in milliseconds. */
const FREEZE_MS = LIMITS.header_timeout_ms + 1_000;

/** Starts a gateway and a worker of a route whose requests may run once. */
async function startFleet(fleet: GatewayFleet) {
  const worker = await fleet.startWorker("s");
  const changes = { route_kind: "non_idempotent", max_attempts: 1 };
  fleet.publishConfiguration(1, [KEY], changes, LIMITS);
  const gateway = await fleet.startGateway();
  await waitUntilServing(gateway);
  const port = Number(gateway.settings.callerAddress.split(":")[1]);
  return { worker, port };
}

function formatHead(): [first: string, rest: string] {
  return [
    `POST /a/b HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: ${KEY}\r\n`,
    `X-Beechkeel-Attempt-Id: ${randomUUID()}\r\n` +
    "X-Beechkeel-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n",
  ];
}

// Guards against requests that were answered with 408 and run all the same when a frozen gateway woke.
test.serial("a head whose rest arrived while the gateway was frozen is served once, and not refused", async (t) => {
  await withGateways(async (fleet) => {
    const { worker, port } = await startFleet(fleet);
    const caller = await RawCaller.create(port, false);
    const [first, rest] = formatHead();
    caller.write(first);
    await delay(100);
    await freezeProcess(FREEZE_MS, () => caller.write(rest));
    await caller.waitForResponses(1);
    caller.close();
    t.deepEqual(caller.statuses, [200]);
    t.is(worker.arrivals.length, 1);
  });
});

// Guards against requests that were answered with 408 for a late head and run when the rest arrived.
test.serial("a request whose head was refused as late does not run when its rest arrives", async (t) => {
  await withGateways(async (fleet) => {
    const { worker, port } = await startFleet(fleet);
    const caller = await RawCaller.create(port, false);
    const [first, rest] = formatHead();
    caller.write(first);
    await caller.waitForResponses(1);
    caller.write(rest);
    await delay(300);
    caller.close();
    t.deepEqual(caller.statuses, [408]);
    t.is(worker.arrivals.length, 0);
  });
});

// Guards against a 408 or 400 that took the place of the response to the request before.
for (
  const [name, second, status] of [
    ["an incomplete head", "POST /a/b HTTP/1.1\r\nHo", 408],
    ["malformed bytes", "no request\r\n\r\n", 400],
  ] as const
) {
  test.serial(`a response under way is delivered before ${name} behind its request is refused`, async (t) => {
    await withGateways(async (fleet) => {
      const { worker, port } = await startFleet(fleet);
      let respond: (() => void) | undefined;
      worker.behaviour = (request, response) => {
        respond = () => respondSuccessfully(request, response, worker);
      };
      const caller = await RawCaller.create(port, false);
      caller.write(formatHead().join("") + second);
      await delay(FREEZE_MS);
      t.deepEqual(caller.statuses, []);
      respond!();
      await caller.waitForEnd();
      caller.close();
      t.deepEqual(caller.statuses, [200, status]);
      t.is(worker.arrivals.length, 1);
    });
  });
}
