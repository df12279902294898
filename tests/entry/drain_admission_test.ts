import test from "ava";
import { pino } from "pino";
import { readClock } from "../../src/clock/clock.ts";
import {
  DrainAdmission,
  type DrainAdmissionOptions,
} from "../../src/entry/drain_admission.ts";
import { Failure } from "../../src/errors/failure.ts";
import type { RoutedRequest } from "../../src/entry/routed_request.ts";
import { Random } from "../../src/random/random.ts";

/** Time limit of a stop, time until a request's deadline, and duration of a short chat, in milliseconds. */
const LIMIT_MS = 100_000;
const DEADLINE_MS = 300_000;
const SHORT_MS = 5_000;
/** Length hints of a short and a long chat. */
const SHORT_TOKENS = 10;
const LONG_TOKENS = 1_000;
const KNOWN_CHATS = 64;

interface Recorded {
  admission: DrainAdmission;
  counted: string[];
  logged: Record<string, unknown>[];
}

function createAdmission(
  options: Partial<DrainAdmissionOptions> = {},
): Recorded {
  const counted: string[] = [];
  const logged: Record<string, unknown>[] = [];
  const logger = pino(
    { level: "info" },
    { write: (line: string) => logged.push(JSON.parse(line)) },
  );
  const admission = DrainAdmission.create({
    logger,
    metrics: {
      count: (name, tags) => counted.push(`${name} ${Object.values(tags!)}`),
    },
    limitMs: LIMIT_MS,
    hasOtherRouter: () => true,
    callersLeaveWithinMs: Infinity,
    getPaceRatio: () => undefined,
    ...options,
  });
  return { admission, counted, logged };
}

function createRequest(overrides: Partial<RoutedRequest> = {}): RoutedRequest {
  const now = readClock();
  return {
    requestId: "q",
    requirement: { role: "engine", model: "m1" },
    customer: { id: "kilima/rosters" },
    isStreamed: true,
    repeatable: true,
    receivedAt: now,
    deadlineAt: now + DEADLINE_MS,
    ...overrides,
  } as RoutedRequest;
}

/** Records answered chats, by default all of the same duration. */
function recordChats(
  admission: DrainAdmission,
  getDurationMs: (chat: number) => number = () => SHORT_MS,
  getTokens: (chat: number) => number | undefined = () => undefined,
): void {
  for (let chat = 0; chat < KNOWN_CHATS; chat++) {
    admission.recordAnswer(
      createRequest({ lengthHint: getTokens(chat) }),
      getDurationMs(chat),
      { pauses: 0, meanPauseMs: undefined },
    );
  }
}

/** Returns whether a request is accepted some time after the start of the stop. */
function isAccepted(
  { admission }: Recorded,
  elapsedMs: number,
  request: RoutedRequest = createRequest(),
): boolean {
  admission.start(readClock() - elapsedMs);
  try {
    admission.assertFits(request);
    return true;
  } catch {
    return false;
  }
}

test("a router that is not stopping accepts all requests", (t) => {
  const { admission } = createAdmission();
  recordChats(admission, () => 10 * LIMIT_MS);
  admission.assertFits(createRequest());
  t.is(admission.usableMs, Infinity);
});

test("a request whose deadline lies within the stop is accepted at any time, one that lasts longer is not", (t) => {
  const deadlineAt = readClock() + 10_000;
  const recorded = createAdmission();
  recordChats(recorded.admission, () => 10 * LIMIT_MS);
  t.true(isAccepted(recorded, 80_000, createRequest({ deadlineAt })));
  t.false(isAccepted(recorded, 80_000, createRequest()));
});

test("a request that takes as long as is left of the stop is refused, a shorter one is accepted", (t) => {
  for (const [durationMs, expected] of [[60_000, true], [95_000, false]]) {
    const recorded = createAdmission();
    recordChats(recorded.admission, () => durationMs as number);
    t.is(isAccepted(recorded, 0), expected as boolean);
  }
});

test("requests that come late are refused, although they would end by the durations before the stop", (t) => {
  const recorded = createAdmission();
  recordChats(recorded.admission);
  t.false(isAccepted(recorded, 40_000));
});

test("the time of a stop counts from its signal", (t) => {
  const recorded = createAdmission();
  recordChats(recorded.admission, () => 60_000);
  t.false(isAccepted(recorded, 30_000));
});

test("short chats are accepted although half of the chats of their model outlast the stop", (t) => {
  const isShort = (chat: number) => chat % 2 === 0;
  const getDurationMs = (chat: number) => isShort(chat) ? SHORT_MS : LIMIT_MS;
  const recorded = createAdmission();
  recordChats(
    recorded.admission,
    getDurationMs,
    (chat) => isShort(chat) ? SHORT_TOKENS : LONG_TOKENS,
  );
  const accepts = (lengthHint: number) =>
    isAccepted(recorded, 0, createRequest({ lengthHint }));
  t.true(accepts(SHORT_TOKENS));
  t.false(accepts(LONG_TOKENS));
});

/** Draws a duration from a log-normal distribution whose median is a fifth of the time limit. */
function drawDuration(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  const angle = 2 * Math.PI * random.fraction();
  return LIMIT_MS / 5 * Math.exp(0.44 * radius * Math.cos(angle));
}

for (const [growth, maxCutFraction] of [[1, 0.03], [1.25, 0.1]] as const) {
  test(`few chats that are accepted outlast the stop when chats last ${growth} times as long as before it`, (t) => {
    let accepted = 0;
    let cut = 0;
    for (let seed = 1; seed <= 1_000; seed++) {
      const random = Random.create(seed);
      const recorded = createAdmission();
      recordChats(recorded.admission, () => drawDuration(random));
      const elapsedMs = LIMIT_MS * random.fraction();
      if (!isAccepted(recorded, elapsedMs)) continue;
      accepted += 1;
      const endsMs = elapsedMs + growth * drawDuration(random);
      if (endsMs > LIMIT_MS * 0.93) cut += 1;
    }
    t.true(accepted > 300, String(accepted));
    t.true(cut < maxCutFraction * accepted, `${cut} of ${accepted}`);
    t.log(`${cut} of ${accepted}`);
  });
}

test("a stream that its upstream slows down is refused, because it would outlast the stop", (t) => {
  const recorded = createAdmission({ getPaceRatio: () => 5 });
  for (let chat = 0; chat < KNOWN_CHATS; chat++) {
    recorded.admission.recordAnswer(createRequest(), 20_000, {
      pauses: 1_000,
      meanPauseMs: 20,
    });
  }
  t.false(isAccepted(recorded, 0));
});

test("refused callers may retry at once at another router, otherwise when this one is back", (t) => {
  const getRetryAfter = (hasOtherRouter: boolean) => {
    const { admission } = createAdmission({
      hasOtherRouter: () => hasOtherRouter,
    });
    admission.start(readClock() - 90_000);
    const failure = Failure.from(
      t.throws(() => admission.assertFits(createRequest())),
    );
    t.is(failure.kind, "draining");
    return Number(failure.headers["retry-after"]);
  };
  t.is(getRetryAfter(true), 0);
  const seconds = getRetryAfter(false);
  t.true(seconds > 3 && seconds <= 4.001, String(seconds));
});

test("what precedes a dispatch is given up at the end of the stop, and logged", async (t) => {
  const { admission, counted, logged } = createAdmission();
  admission.start(readClock());
  const promise = new Promise<void>(() => undefined);
  const waiting = admission.waitUntilEnd(createRequest(), promise);
  admission.end();
  t.is(Failure.from(await t.throwsAsync(waiting)).kind, "draining");
  t.deepEqual(counted, ["request_cut refused"]);
  t.like(logged.at(-1), {
    msg: "request_cut",
    request: "q",
    decision: "before_stop",
    end: "refused",
  });
});

test("the log of a cut request tells what was decided when it arrived", (t) => {
  const recorded = createAdmission();
  recordChats(recorded.admission);
  t.true(isAccepted(recorded, 0));
  recorded.admission.recordCut(createRequest(), {
    end: "cut",
    upstream: "e1",
    events: 3,
  });
  t.like(recorded.logged.at(-1), {
    level: 40,
    decision: "likely",
    upstream: "e1",
    events: 3,
  });
});
