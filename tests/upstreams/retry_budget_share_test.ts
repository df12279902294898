import fc from "fast-check";
import test from "ava";
import { Random } from "../../src/random/random.ts";
import { RetryBudgetShare } from "../../src/upstreams/retry_budget_share.ts";

const WINDOW_MS = 10_000;

/** Takes all retries that a share allows, and returns their number. */
function acquireAll(share: RetryBudgetShare, now: number): number {
  let acquired = 0;
  while (share.tryAcquire(now).isAllowed) acquired += 1;
  return acquired;
}

test("all hosts together never exceed the fleet's retry budget in any window", (t) => {
  const staysWithinBudget = fc.property(
    fc.integer({ min: 1, max: 9 }),
    fc.array(
      fc.record({ gapMs: fc.nat(400), isRetry: fc.boolean() }),
      { minLength: 10, maxLength: 300 },
    ),
    (hosts, steps) => {
      const shares = Array.from(
        { length: hosts },
        () =>
          RetryBudgetShare.create({
            getLimits: () => ({ ratio: 0.2, extra: 50, windowMs: WINDOW_MS }),
            getFleetSize: () => hosts,
            getRetainedFraction: () => 1,
            random: Random.create(hosts),
            recordedSince: -Infinity,
          }),
      );
      let now = 0;
      const requests: number[] = [];
      const retries: number[] = [];
      return steps.every(({ gapMs, isRetry }, index) => {
        now += gapMs;
        const share = shares[index % hosts]!;
        if (!isRetry) {
          share.recordRequest(now);
          requests.push(now);
        } else if (share.tryAcquire(now).isAllowed) retries.push(now);
        const isInWindow = (at: number) => at > now - WINDOW_MS;
        const allowed = 0.2 * requests.filter(isInWindow).length + 50;
        return retries.filter(isInWindow).length <= allowed;
      });
    },
  );
  t.notThrows(() => fc.assert(staysWithinBudget, { seed: 3, numRuns: 300 }));
});

/** Failures of a service whose upstreams all fail a fraction of their requests for a while. */
const FAILURES = { part: 0.45, fromMs: 10_000, untilMs: 14_000 };
/** Retry ratio of the fleet's budget. */
const RATIO = 0.2;
/** Additional retries of the fleet's budget per window. */
const EXTRA = 430;

/** Sends requests through random hosts and retries failed ones if the host's share allows it. */
function runWithFailures(hosts: number, requestsPerSecond: number) {
  const random = Random.create(hosts);
  const shares = Array.from({ length: hosts }, () =>
    RetryBudgetShare.create({
      getLimits: () => ({ ratio: RATIO, extra: EXTRA, windowMs: WINDOW_MS }),
      getFleetSize: () => hosts,
      getRetainedFraction: () => 1,
      random,
      recordedSince: -Infinity,
    }));
  const requests: number[] = [];
  const retries: number[] = [];
  let failures = 0;
  for (let now = 0; now < 20_000; now += 1_000 / requestsPerSecond) {
    const share = random.pick(shares);
    share.recordRequest(now);
    requests.push(now);
    const isFailing = now >= FAILURES.fromMs && now < FAILURES.untilMs &&
      random.fraction() < FAILURES.part;
    if (!isFailing) continue;
    failures += 1;
    if (share.tryAcquire(now).isAllowed) retries.push(now);
  }
  return { requests, retries, failures };
}

for (
  const { hosts, perSecond } of [
    { hosts: 7, perSecond: 20 },
    { hosts: 87, perSecond: 60 },
    { hosts: 195, perSecond: 98 },
    { hosts: 195, perSecond: 280 },
  ]
) {
  // Guards against rounding every share down, which refuses a fifth of the retries at 195 hosts.
  test(`${hosts} hosts at ${perSecond} requests a second retry nearly all failed requests within the budget`, (t) => {
    const { requests, retries, failures } = runWithFailures(hosts, perSecond);
    const allowed = EXTRA +
      RATIO * requests.filter((at) => at < WINDOW_MS).length;
    t.true(failures < allowed);
    t.true(retries.length <= allowed);
    t.true(
      retries.length >= 0.85 * failures,
      `${retries.length} of ${failures}`,
    );
  });
}

// Guards against settings that forget the retries that were already sent.
test("retries that were sent before a change of the limits count after it", (t) => {
  let limits = { ratio: 0.2, extra: 20, windowMs: WINDOW_MS };
  const share = RetryBudgetShare.create({
    getLimits: () => limits,
    getFleetSize: () => 1,
    getRetainedFraction: () => 1,
    random: Random.create(1),
    recordedSince: -WINDOW_MS,
  });
  const before = acquireAll(share, 1_000);
  limits = { ...limits };
  t.is(acquireAll(share, 1_001), 0);
  limits = { ...limits, extra: 40 };
  const added = acquireAll(share, 1_002);
  t.true(before + added <= 28, `${before} + ${added}`);
  limits = { ...limits, extra: 20, windowMs: WINDOW_MS / 2 };
  t.is(acquireAll(share, 1_003), 0);
});

// Guards against a window that ends before its length has passed.
test("a retry counts until a whole window has passed", (t) => {
  const share = RetryBudgetShare.create({
    getLimits: () => ({ ratio: 0, extra: 3, windowMs: WINDOW_MS }),
    getFleetSize: () => 1,
    getRetainedFraction: () => 1,
    random: Random.create(1),
    recordedSince: -WINDOW_MS,
  });
  const sentAt = 990;
  acquireAll(share, sentAt);
  t.false(share.tryAcquire(sentAt + WINDOW_MS - 1).isAllowed);
  t.true(share.tryAcquire(sentAt + 1.1 * WINDOW_MS).isAllowed);
});

// Guards against processes that take a full share although their predecessor has used it.
test("processes that start in series use no more than one that runs on", (t) => {
  const random = Random.create(5);
  let started = 0;
  for (let now = 0; now < WINDOW_MS; now += 500) {
    const share = RetryBudgetShare.create({
      getLimits: () => ({ ratio: 0, extra: 100, windowMs: WINDOW_MS }),
      getFleetSize: () => 1,
      getRetainedFraction: () => 1,
      random,
      recordedSince: now,
    });
    started += acquireAll(share, now + 499);
  }
  t.true(started > 0);
  t.true(started <= 30, `${started}`);
});

test("a window that is longer than the records is not covered by them", (t) => {
  let windowMs = WINDOW_MS;
  const share = RetryBudgetShare.create({
    getLimits: () => ({ ratio: 0, extra: 100, windowMs }),
    getFleetSize: () => 1,
    getRetainedFraction: () => 1,
    random: Random.create(6),
    recordedSince: -Infinity,
  });
  const before = acquireAll(share, 0);
  share.recordRequest(WINDOW_MS + 1_000);
  windowMs = 4 * WINDOW_MS;
  const after = acquireAll(share, WINDOW_MS + 1_001);
  t.true(before + after <= 100, `${before} + ${after}`);
});

// Guards against hosts that take over the requests of lost ones, and with them a budget that these have used.
test("requests that a host receives in place of lost hosts add nothing to its share", (t) => {
  let retainedFraction = 1;
  const share = RetryBudgetShare.create({
    getLimits: () => ({ ratio: 0.2, extra: 0, windowMs: WINDOW_MS }),
    getFleetSize: () => 4,
    getRetainedFraction: () => retainedFraction,
    random: Random.create(7),
    recordedSince: -Infinity,
  });
  const receive = (now: number, count: number) => {
    for (let index = 0; index < count; index++) share.recordRequest(now);
  };
  receive(0, 1_000);
  const before = share.tryAcquire(1).allowed;
  retainedFraction = 0.25;
  receive(WINDOW_MS + 1_000, 4_000);
  t.is(share.tryAcquire(WINDOW_MS + 1_001).allowed, before);
});
