import test from "ava";
import { setImmediate as nextTurn } from "node:timers/promises";
import { StaggeredRace } from "../../src/clock/staggered_race.ts";
import { VirtualTimeline } from "./virtual_timeline.ts";

const STAGGER_MS = 100;
const TIMEOUT_MS = 500;
const TIMEOUT_ERROR = new Error("no result in time");

/** An attempt that ends after a delay, with its name or with an error. */
interface PlannedAttempt {
  name: string;
  afterMs: number;
  fails?: boolean;
}

/** Runs a race to its end in virtual time. */
async function race(attempts: readonly PlannedAttempt[]) {
  const timeline = VirtualTimeline.create();
  const startedAt: number[] = [];
  const late: string[] = [];
  const start = ({ name, afterMs, fails }: PlannedAttempt) =>
    new Promise<string>((resolve, reject) => {
      startedAt.push(timeline.read());
      timeline.after(
        afterMs,
        () => fails ? reject(new Error(name)) : resolve(name),
      );
    });
  const result = StaggeredRace.run({
    getNextAttempt: () => {
      const next = attempts[startedAt.length];
      return next && (() => start(next));
    },
    staggerMs: STAGGER_MS,
    createTimeoutError: () => TIMEOUT_ERROR,
    timeoutMs: TIMEOUT_MS,
    onLateResult: (name) => late.push(name),
    timeline,
  }).then((name) => ({ name }), (error: Error) => ({ error }));
  for (let now = 10; now <= 2 * TIMEOUT_MS; now += 10) {
    timeline.runUntil(now);
    await nextTurn();
  }
  return { result: await result, startedAt, late };
}

test("only the first attempt starts if it succeeds before the second is due", async (t) => {
  const { result, startedAt } = await race([
    { name: "a", afterMs: 50 },
    { name: "b", afterMs: 1 },
  ]);
  t.deepEqual(result, { name: "a" });
  t.deepEqual(startedAt, [0]);
});

test("the second attempt starts when the first is slow, and a late result is handed over", async (t) => {
  const { result, startedAt, late } = await race([
    { name: "a", afterMs: 300 },
    { name: "b", afterMs: 20 },
  ]);
  t.deepEqual(result, { name: "b" });
  t.deepEqual(startedAt, [0, STAGGER_MS]);
  t.deepEqual(late, ["a"]);
});

test("the next attempt starts as soon as one fails, and the race fails with the last error", async (t) => {
  const { result, startedAt } = await race([
    { name: "a", afterMs: 10, fails: true },
    { name: "b", afterMs: 10, fails: true },
  ]);
  t.deepEqual(result, { error: new Error("b") });
  t.deepEqual(startedAt, [0, 10]);
});

test("a race without a result in time fails, as does one without attempts", async (t) => {
  for (const attempts of [[{ name: "a", afterMs: 600 }], []]) {
    const { result } = await race(attempts);
    t.deepEqual(result, { error: TIMEOUT_ERROR });
  }
});
