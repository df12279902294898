import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import {
  respondSuccessfully,
  type WorkerBehaviour,
} from "../../fakes/fake_worker.ts";
import { call, type CallResult } from "./call.ts";
import { waitForStatus } from "./wait_for_gateway.ts";
import { withGateways } from "./with_gateways.ts";

const KEY = "key-1";
/** Time that the stop may take, in milliseconds. */
const STOP_TIMEOUT_MS = 5_000;
/** Time that a worker takes for a long request, in milliseconds. */
const LONG_MS = 1_200;
/** Pause between two calls, in milliseconds. */
const PAUSE_MS = 100;
const ENDLESS = "endless";
const LONG = "long";

/** Answers a long request late, an endless one never, and all others at once. */
const respond: WorkerBehaviour = (request, response, worker) => {
  const kind = request.headers["x-kind"];
  if (kind === ENDLESS) return;
  setTimeout(() => {
    response.writeHead(200, worker.buildSealHeaders(request));
    response.end(worker.id);
  }, kind === LONG ? LONG_MS : 0);
};

// Guards against requests that a stopping host takes although it cannot finish them: one long request kept it open, and
// it cut all others at its last moment.
test("a stopping host refuses requests that it cannot finish as not run, and serves the others", async (t) => {
  await withGateways(async (fleet) => {
    const worker = await fleet.startWorker("s", "h", 100);
    worker.behaviour = respond;
    fleet.publishConfiguration(1, [KEY], { timeout_ms: 8_000 });
    const stopping = await fleet.startGateway({
      stopTimeoutMs: STOP_TIMEOUT_MS,
    });
    await waitForStatus(stopping, KEY, 200);
    const callWith = (kind: string) =>
      call(stopping, KEY, { headers: { "x-kind": kind } });
    await Promise.all(Array.from({ length: 5 }, () => callWith(LONG)));
    const endless = callWith(ENDLESS).catch(() => undefined);
    worker.arrivals.length = 0;
    const stopped = stopping.gateway.drain();
    const calls: Promise<CallResult | undefined>[] = [];
    const isOver = stopped.then(() => true);
    while (!await Promise.race([isOver, delay(PAUSE_MS, false)])) {
      calls.push(callWith(LONG).catch(() => undefined));
    }
    await Promise.all([stopped, endless]);
    const results = await Promise.all(calls);
    const served = results.filter((result) => result?.status === 200);
    const refused = results.filter((result) => result?.status === 503);
    t.true(served.length > 0);
    t.true(refused.length > 0);
    t.true(
      refused.every((result) =>
        result!.headers["x-beechkeel-error"] === "draining" &&
        result!.headers.connection === "close"
      ),
    );
    const sent = worker.arrivals.filter(({ headers }) =>
      headers["x-kind"] === LONG
    );
    t.is(sent.length, served.length, "requests that were sent and not served");
  });
});

/** Time after the start of a stop at which requests begin to take longer, in milliseconds. */
const GROWS_AFTER_MS = 2_000;
/** Times that a worker takes for a request before and after, in milliseconds. */
const SHORT_MS = 300;
const GROWN_MS = 2_400;

// Guards against requests that arrive late in a stop and are cut, because the requests of their kind took less time before.
test("a stopping host does not cut late requests when requests become longer during the stop", async (t) => {
  await withGateways(async (fleet) => {
    const worker = await fleet.startWorker("s", "h", 100);
    let durationMs = SHORT_MS;
    worker.behaviour = (request, response) => {
      setTimeout(() => {
        response.writeHead(200, worker.buildSealHeaders(request));
        response.end(worker.id);
      }, durationMs);
    };
    fleet.publishConfiguration(1, [KEY], { timeout_ms: 8_000 });
    const stopping = await fleet.startGateway({
      stopTimeoutMs: STOP_TIMEOUT_MS,
    });
    await waitForStatus(stopping, KEY, 200);
    await Promise.all(Array.from({ length: 5 }, () => call(stopping, KEY)));
    worker.arrivals.length = 0;
    const stopped = stopping.gateway.drain();
    setTimeout(() => durationMs = GROWN_MS, GROWS_AFTER_MS);
    const calls: Promise<CallResult | undefined>[] = [];
    const isOver = stopped.then(() => true);
    while (!await Promise.race([isOver, delay(PAUSE_MS, false)])) {
      calls.push(call(stopping, KEY).catch(() => undefined));
    }
    await stopped;
    const results = await Promise.all(calls);
    const served = results.filter((result) => result?.status === 200);
    t.true(served.length > 0);
    t.is(
      worker.arrivals.length,
      served.length,
      "requests that were sent and not served",
    );
  });
});

// Guards against a call that is accepted because of its deadline, gets a later one, and is cut by the stop.
test("a longer timeout does not apply to the calls of a stopping host", async (t) => {
  await withGateways(async (fleet) => {
    const worker = await fleet.startWorker("s", "h", 100);
    worker.behaviour = (request, response, self) => {
      if (request.headers["x-kind"] === ENDLESS) return;
      respondSuccessfully(request, response, self);
    };
    const route = { route_kind: "non_idempotent", max_attempts: 1 };
    fleet.publishConfiguration(1, [KEY], { ...route, timeout_ms: 2_000 });
    const stopping = await fleet.startGateway({
      stopTimeoutMs: STOP_TIMEOUT_MS,
    });
    await waitForStatus(stopping, KEY, 200);
    const stopped = stopping.gateway.drain();
    const endless = call(stopping, KEY, { headers: { "x-kind": ENDLESS } });
    await until(() =>
      worker.arrivals.some(({ headers }) => headers["x-kind"] === ENDLESS)
    );
    fleet.publishConfiguration(2, ["other", KEY], {
      ...route,
      timeout_ms: 8_000,
    });
    const { status } = await endless;
    await stopped;
    t.is(status, 504);
  });
});

/** Waits until a condition holds. */
async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await delay(10);
}
