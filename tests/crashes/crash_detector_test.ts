import test from "ava";
import { pino } from "pino";
import { createServer } from "node:net";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { CrashDetector } from "../../src/crashes/crash_detector.ts";
import type {
  CheckedUpstream,
  Suspect,
} from "../../src/crashes/crash_detector.ts";
import {
  checkConnection,
  type CheckResult,
} from "../../src/crashes/connection_check.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { createDeferred } from "../forward/run_call.ts";

const UPSTREAM: CheckedUpstream = {
  id: "u-1",
  shortName: 1,
  address: "127.0.0.1:1",
  isEndExpected: false,
};

function suspect(fingerprint: number): Suspect {
  return { fingerprint, points: 2 };
}

/** A detector whose checks are answered by the test. */
function createDetector() {
  const blamed: number[] = [];
  const crashes: number[] = [];
  const checked = createDeferred<CheckResult>();
  const detector = CrashDetector.create({
    logger: pino({ level: "silent" }),
    onCrash: () => crashes.push(performance.now()),
    onBlame: (_upstream, suspects) =>
      blamed.push(...suspects.map(({ fingerprint }) => fingerprint)),
    check: () => checked.promise,
  });
  const answer = async (result: CheckResult) => {
    checked.resolve(result);
    await checked.promise;
    await Promise.resolve();
  };
  return { detector, blamed, crashes, answer };
}

test("all requests on an upstream are blamed once nothing listens at its address, also those that break later", async (t) => {
  const { detector, blamed, crashes, answer } = createDetector();
  detector.noteBroken(UPSTREAM, suspect(1));
  detector.noteBroken(UPSTREAM, suspect(2));
  detector.noteBroken(UPSTREAM, suspect(2));
  t.deepEqual(blamed, []);
  t.is(detector.getPendingPoints(2), 2);
  await answer("refused");
  t.deepEqual(blamed, [1, 2, 2]);
  t.is(detector.getPendingPoints(2), 0);
  detector.noteBroken(UPSTREAM, suspect(3));
  t.deepEqual(blamed, [1, 2, 2, 3]);
  t.is(crashes.length, 1);
  detector.close();
});

test("a connection that was cut while its upstream lives on blames nobody", async (t) => {
  const { detector, blamed, answer } = createDetector();
  detector.noteBroken(UPSTREAM, suspect(1));
  await answer("taken");
  t.deepEqual(blamed, []);
  t.is(detector.getPendingPoints(1), 0);
  detector.close();
});

test("the end of an upstream that leaves blames nobody", async (t) => {
  const { detector, blamed, answer } = createDetector();
  detector.noteBroken({ ...UPSTREAM, isEndExpected: true }, suspect(1));
  await answer("refused");
  t.deepEqual(blamed, []);
  detector.close();
});

test("an upstream out of reach has crashed once it is gone from the list", async (t) => {
  const { detector, blamed, answer } = createDetector();
  detector.noteBroken(UPSTREAM, suspect(1));
  await answer("undecided");
  t.deepEqual(blamed, []);
  detector.noteGone(UPSTREAM.shortName);
  detector.noteGone(UPSTREAM.shortName);
  t.deepEqual(blamed, [1]);
  detector.close();
});

test("a check tells an address that takes connections from one where nothing listens", async (t) => {
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

test("another host's word of a crash is believed where nothing listens, and blames nobody", async (t) => {
  for (const [result, expected] of [["refused", 1], ["taken", 0]] as const) {
    const told: string[] = [];
    const detector = CrashDetector.create({
      logger: pino({ level: "silent" }),
      onCrash: ({ id }) => told.push(id),
      onBlame: () => t.fail("nobody is to be blamed"),
      check: () => Promise.resolve(result),
    });
    detector.noteRumour(UPSTREAM);
    detector.noteRumour(UPSTREAM);
    await new Promise((resolve) => setImmediate(resolve));
    t.is(told.length, expected);
    detector.close();
  }
});
