import test from "ava";
import { pino } from "pino";
import { CrashGuard } from "../../src/crashes/crash_guard.ts";
import type { TrackedRequest } from "../../src/crashes/interrupted_request.ts";
import type { RequestHold } from "../../src/crashes/request_hold.ts";
import { VirtualTimeline } from "../clock/virtual_timeline.ts";

const FIRST = 1;
const CRASHING = 2;
const OTHER = 3;
/** Time for which a guard that has heard of a crash collects reports before it holds a part, and a bit. */
const SETTLED_MS = 600;
/** Time until the first trial of a held part. */
const FIRST_HOLD_MS = 30_000;

interface TestGuard {
  guard: CrashGuard;
  timeline: VirtualTimeline;
  holds: RequestHold[];
  /** The log lines of the guard. */
  lines: Record<string, unknown>[];
  /** Crashes an upstream with a new prompt. */
  crashWith: (...parts: number[]) => Promise<void>;
}

function createGuard(isTrialHost = true): TestGuard {
  const timeline = VirtualTimeline.create();
  const holds: RequestHold[] = [];
  const lines: Record<string, unknown>[] = [];
  const guard = CrashGuard.create({
    logger: pino({}, { write: (line) => void lines.push(JSON.parse(line)) }),
    formatFingerprint: String,
    onPendingNews: () => undefined,
    onHeld: (hold) => holds.push(hold),
    onCrash: () => undefined,
    onCrashReported: () => undefined,
    isTrialHost: () => isTrialHost,
    check: () => Promise.resolve("refused"),
    timeline,
  });
  let crashes = 0;
  const crashWith = async (...parts: number[]) => {
    crashes += 1;
    const instance = {
      id: `u-${crashes}`,
      instanceHash: crashes,
      address: "",
      isEndExpected: false,
    };
    guard.recordInterruption(instance, buildRequest(...parts), false);
    for (let turn = 0; turn < 3; turn++) await undefined;
    timeline.runUntil(timeline.read() + 1_000);
  };
  return { guard, timeline, holds, lines, crashWith };
}

let requests = 0;

function buildRequest(...parts: number[]): TrackedRequest {
  requests += 1;
  return { requestId: `r-${requests}`, fingerprint: requests, parts };
}

/** Creates a guard that holds the crashing part. */
async function createHolding(isTrialHost = true): Promise<TestGuard> {
  const holding = createGuard(isTrialHost);
  const { guard, crashWith } = holding;
  for (let count = 0; count < 10; count++) {
    guard.recordCompletion(buildRequest(FIRST, OTHER), false);
  }
  for (let count = 0; count < 3; count++) await crashWith(FIRST, CRASHING);
  return holding;
}

test("different prompts with a part that crashed three upstreams are refused without a retry time, others are not", async (t) => {
  const { guard, holds } = await createHolding();
  const refusal = guard.findRefusal(buildRequest(FIRST, CRASHING, OTHER));
  t.is(refusal?.kind, "prompt_crashes_upstreams");
  t.is(refusal?.headers["retry-after"], undefined);
  t.is(guard.findRefusal(buildRequest(FIRST, OTHER)), undefined);
  t.false(guard.mayRetry(buildRequest(FIRST, CRASHING)));
  t.is(
    guard.getRefusalKind(buildRequest(FIRST, CRASHING)),
    "prompt_crashes_upstreams",
  );
  t.is(guard.getRefusalKind(buildRequest(OTHER)), "crashes_upstreams");
  t.true(guard.mayRetry(buildRequest(FIRST, OTHER)));
  t.true(holds.at(-1)!.concerns(buildRequest(CRASHING)));
  t.false(holds.at(-1)!.concerns(buildRequest(FIRST)));
});

// Guards against a host that forgot with its restart which parts crash upstreams, and sends each prompt to two of them.
test("a host that has just started retries interrupted prompts only if their parts have completed", (t) => {
  const { guard, timeline } = createGuard();
  guard.recordCompletion(buildRequest(FIRST, OTHER), false);
  const instance = {
    id: "u",
    instanceHash: 99,
    address: "",
    isEndExpected: false,
  };
  const unknown = buildRequest(FIRST, CRASHING);
  const known = buildRequest(FIRST, OTHER);
  for (const request of [unknown, known]) {
    guard.recordInterruption(instance, request, false);
  }
  t.false(guard.mayRetry(unknown));
  t.true(guard.mayRetry(known));
  timeline.runUntil(10_000);
  t.true(guard.mayRetry(unknown));
});

test("a prompt that was interrupted is not sent again if its part has crashed another upstream", async (t) => {
  const { guard, timeline, crashWith } = createGuard();
  timeline.runUntil(10_000);
  const first = buildRequest(FIRST, CRASHING);
  t.true(guard.mayRetry(first));
  guard.recordCompletion(buildRequest(FIRST), false);
  guard.recordCompletion(buildRequest(FIRST), false);
  await crashWith(FIRST, CRASHING);
  const second = buildRequest(FIRST, CRASHING);
  const instance = {
    id: "u",
    instanceHash: 99,
    address: "",
    isEndExpected: false,
  };
  guard.recordInterruption(instance, second, false);
  t.false(guard.mayRetry(second));
  const sound = buildRequest(FIRST, OTHER);
  guard.recordInterruption(instance, sound, false);
  t.true(guard.mayRetry(sound));
});

test("when a hold is over, only the trial host sends, and only one prompt", async (t) => {
  const [trying, other] = [await createHolding(), await createHolding(false)];
  for (const { timeline } of [trying, other]) {
    timeline.runUntil(timeline.read() + FIRST_HOLD_MS);
  }
  t.truthy(other.guard.findRefusal(buildRequest(CRASHING)));
  t.is(trying.guard.findRefusal(buildRequest(CRASHING)), undefined);
  t.truthy(trying.guard.findRefusal(buildRequest(CRASHING)));
});

test("a trial that crashes an upstream prolongs the hold", async (t) => {
  const { guard, timeline, crashWith } = await createHolding();
  timeline.runUntil(timeline.read() + FIRST_HOLD_MS);
  await crashWith(FIRST, CRASHING);
  timeline.runUntil(timeline.read() + 2 * FIRST_HOLD_MS);
  t.truthy(guard.findRefusal(buildRequest(CRASHING)));
  timeline.runUntil(timeline.read() + 10 * FIRST_HOLD_MS);
  t.is(guard.findRefusal(buildRequest(CRASHING)), undefined);
});

test("trials that complete release the part", async (t) => {
  const { guard, timeline } = await createHolding();
  timeline.runUntil(timeline.read() + FIRST_HOLD_MS);
  const trial = buildRequest(FIRST, CRASHING);
  t.is(guard.findRefusal(trial), undefined);
  guard.recordCompletion(trial, false);
  timeline.runUntil(timeline.read() + SETTLED_MS);
  for (let count = 0; count < 5; count++) {
    t.is(guard.findRefusal(buildRequest(FIRST, CRASHING)), undefined);
  }
});

// Guards against a host that has just started and forwards prompts that the others hold.
test("a guard holds a part at once by the news of a host that holds it", async (t) => {
  const holding = await createHolding();
  const { guard, timeline } = createGuard();
  guard.mergeNews(holding.guard.news.takePending(holding.timeline.read()));
  timeline.runUntil(100);
  t.truthy(guard.findRefusal(buildRequest(FIRST, CRASHING)));
  t.is(guard.findRefusal(buildRequest(FIRST, OTHER)), undefined);
});

// Guards against sound requests that are held because they were interrupted twice by the crashes of a held part.
test("a request is not held for crashes that a held part explains", async (t) => {
  const { guard, timeline } = createGuard();
  const bystander = buildRequest(FIRST, OTHER);
  for (let count = 1; count <= 4; count++) {
    const instance = {
      id: `u-${count}`,
      instanceHash: count,
      address: "",
      isEndExpected: false,
    };
    guard.recordCompletion(buildRequest(FIRST, OTHER), false);
    guard.recordInterruption(instance, buildRequest(FIRST, CRASHING), false);
    if (count <= 2) guard.recordInterruption(instance, bystander, false);
    for (let turn = 0; turn < 3; turn++) await undefined;
    timeline.runUntil(timeline.read() + 1_000);
    if (count === 2) t.truthy(guard.findRefusal(bystander));
  }
  t.truthy(guard.findRefusal(buildRequest(CRASHING)));
  t.is(guard.findRefusal(bystander), undefined);
});

test("the log line of a hold names its parts, its evidence and the requests that were interrupted", async (t) => {
  const { lines } = await createHolding();
  const held = lines.find(({ msg }) => msg === "part_held");
  t.like(held, { parts: String(CRASHING), crashes: 3, completions: 0 });
  const interrupted = lines.filter(({ msg }) =>
    msg === "request_interrupted_by_crash"
  ).map(({ fingerprint }) => fingerprint);
  t.is(interrupted.length, 3);
  t.deepEqual(String(held?.fingerprints).split(","), interrupted);
});
