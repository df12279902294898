import test from "ava";
import { pino } from "pino";
import { createServer } from "node:net";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { CrashDetector } from "../../src/crashes/crash_detector.ts";
import type { UpstreamInstance } from "../../src/crashes/crash_detector.ts";
import type { InterruptedRequest } from "../../src/crashes/interrupted_request.ts";
import {
  checkConnection,
  type CheckResult,
} from "../../src/crashes/connection_check.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { createDeferred } from "../forward/forward_call.ts";

const UPSTREAM: UpstreamInstance = {
  id: "u-1",
  instanceHash: 1,
  address: "127.0.0.1:1",
  isEndExpected: false,
};

/** Builds a request that was interrupted before any part of its response was received. */
function interrupt(fingerprint: number): InterruptedRequest {
  return { requestId: `r-${fingerprint}`, fingerprint, parts: [], points: 2 };
}

/** Creates a detector whose connection checks are completed by the test. */
function createDetector() {
  const affected: number[] = [];
  const crashes: number[] = [];
  const deferredResult = createDeferred<CheckResult>();
  const detector = CrashDetector.create({
    logger: pino({ level: "silent" }),
    onCrash: () => crashes.push(performance.now()),
    onAffected: (_upstream, requests) =>
      affected.push(...requests.map(({ fingerprint }) => fingerprint)),
    check: () => deferredResult.promise,
  });
  const completeCheck = async (result: CheckResult) => {
    deferredResult.resolve(result);
    await deferredResult.promise;
    await Promise.resolve();
  };
  return { detector, affected, crashes, completeCheck };
}

test("a crash is attributed to all requests on the upstream once nothing listens at its address, also to those interrupted later", async (t) => {
  const { detector, affected, crashes, completeCheck } = createDetector();
  detector.recordInterruption(UPSTREAM, interrupt(1));
  detector.recordInterruption(UPSTREAM, interrupt(2));
  detector.recordInterruption(UPSTREAM, interrupt(2));
  t.deepEqual(affected, []);
  t.is(detector.getPendingPoints(2), 2);
  await completeCheck("refused");
  t.deepEqual(affected, [1, 2, 2]);
  t.is(detector.getPendingPoints(2), 0);
  detector.recordInterruption(UPSTREAM, interrupt(3));
  t.deepEqual(affected, [1, 2, 2, 3]);
  t.is(crashes.length, 1);
  detector.close();
});

test("a connection closed by an upstream that keeps running is not a crash", async (t) => {
  const { detector, affected, completeCheck } = createDetector();
  detector.recordInterruption(UPSTREAM, interrupt(1));
  await completeCheck("taken");
  t.deepEqual(affected, []);
  t.is(detector.getPendingPoints(1), 0);
  detector.close();
});

test("the end of an upstream that is leaving is not a crash", async (t) => {
  const { detector, affected, completeCheck } = createDetector();
  detector.recordInterruption(
    { ...UPSTREAM, isEndExpected: true },
    interrupt(1),
  );
  await completeCheck("refused");
  t.deepEqual(affected, []);
  detector.close();
});

test("an unreachable upstream has crashed once it is removed from the list", async (t) => {
  const { detector, affected, completeCheck } = createDetector();
  detector.recordInterruption(UPSTREAM, interrupt(1));
  await completeCheck("undecided");
  t.deepEqual(affected, []);
  detector.recordRemoval(UPSTREAM.instanceHash);
  detector.recordRemoval(UPSTREAM.instanceHash);
  t.deepEqual(affected, [1]);
  detector.close();
});

test("a check distinguishes an address that accepts connections from one where nothing listens", async (t) => {
  const server = createServer((socket) => socket.destroy());
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  t.is(await checkConnection(address), "taken");
  const closed = once(server, "close");
  server.close();
  await closed;
  await waitUntil(
    "nothing listens",
    async () => await checkConnection(address) === "refused",
  );
  t.pass();
});

test("a crash reported by another host is confirmed if nothing listens, and attributed to no request", async (t) => {
  for (const [result, expected] of [["refused", 1], ["taken", 0]] as const) {
    const crashed: string[] = [];
    const detector = CrashDetector.create({
      logger: pino({ level: "silent" }),
      onCrash: ({ id }) => crashed.push(id),
      onAffected: () => t.fail("the crash was attributed to a request"),
      check: () => Promise.resolve(result),
    });
    detector.checkReportedCrash(UPSTREAM);
    detector.checkReportedCrash(UPSTREAM);
    await new Promise((resolve) => setImmediate(resolve));
    t.is(crashed.length, expected);
    detector.close();
  }
});

// Guards against logs that do not tell which prompt parts were in flight on an upstream when it crashed.
test("a confirmed crash is logged with each request that it interrupted, its prompt parts and points", async (t) => {
  const lines: Record<string, unknown>[] = [];
  const detector = CrashDetector.create({
    logger: pino({}, {
      write: (line: string) => void lines.push(JSON.parse(line)),
    }),
    onCrash: () => undefined,
    onAffected: () => undefined,
    check: () => Promise.resolve("refused"),
  });
  const request = { ...interrupt(0xab), parts: [17, 18] };
  detector.recordInterruption(UPSTREAM, request);
  await waitUntil("the crash is confirmed", () => lines.length === 2);
  t.like(lines[1], {
    msg: "request_interrupted_by_crash",
    upstream: "u-1",
    request: "r-171",
    fingerprint: "0000000000ab",
    parts: "17,18",
    points: 2,
  });
  detector.close();
});
