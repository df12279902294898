import fc from "fast-check";
import test from "ava";
import { Random } from "../../src/random/random.ts";
import { RetryShare } from "../../src/upstreams/retry_share.ts";

const WINDOW_MS = 10_000;

test("hosts together never spend more than the fleet's budget in any window", (t) => {
  const keeps = fc.property(
    fc.integer({ min: 1, max: 9 }),
    fc.array(
      fc.record({ gapMs: fc.nat(400), isRetry: fc.boolean() }),
      { minLength: 10, maxLength: 300 },
    ),
    (hosts, steps) => {
      const shares = Array.from({ length: hosts }, () =>
        RetryShare.create({
          ratio: 0.2,
          extra: 50,
          windowMs: WINDOW_MS,
          countHosts: () => hosts,
          random: Random.create(hosts),
        }));
      let now = 0;
      const requests: number[] = [];
      const retries: number[] = [];
      return steps.every(({ gapMs, isRetry }, index) => {
        now += gapMs;
        const share = shares[index % hosts]!;
        if (!isRetry) {
          share.noteRequest(now);
          requests.push(now);
        } else if (share.spend(now)) retries.push(now);
        const isIn = (at: number) => at > now - WINDOW_MS;
        const allowed = 0.2 * requests.filter(isIn).length + 50;
        return retries.filter(isIn).length <= allowed;
      });
    },
  );
  t.notThrows(() => fc.assert(keeps, { seed: 3, numRuns: 300 }));
});

/** The load pattern of upstreams of one service that all fail some of their requests for a while. */
const FAILING = { part: 0.45, fromMs: 10_000, untilMs: 14_000 };
/** Budget of the fleet. */
const RATIO = 0.2;
const EXTRA = 430;

/** Sends requests at random hosts, and retries those that fail where their host allows it. */
function runFailing(hosts: number, requestsPerSecond: number) {
  const random = Random.create(hosts);
  const shares = Array.from({ length: hosts }, () =>
    RetryShare.create({
      ratio: RATIO,
      extra: EXTRA,
      windowMs: WINDOW_MS,
      countHosts: () => hosts,
      random,
    }));
  const requests: number[] = [];
  const retries: number[] = [];
  let wanted = 0;
  for (let now = 0; now < 20_000; now += 1_000 / requestsPerSecond) {
    const share = random.pick(shares);
    share.noteRequest(now);
    requests.push(now);
    const isFailing = now >= FAILING.fromMs && now < FAILING.untilMs &&
      random.fraction() < FAILING.part;
    if (!isFailing) continue;
    wanted += 1;
    if (share.spend(now)) retries.push(now);
  }
  return { requests, retries, wanted };
}

for (
  const { hosts, perSecond } of [
    { hosts: 7, perSecond: 20 },
    { hosts: 87, perSecond: 60 },
    { hosts: 195, perSecond: 98 },
    { hosts: 195, perSecond: 280 },
  ]
) {
  // A share was always rounded down, so that at 195 hosts a fifth of the retries was refused.
  test(`${hosts} hosts at ${perSecond} requests a second retry nearly all that fail, within the budget`, (t) => {
    const { requests, retries, wanted } = runFailing(hosts, perSecond);
    const allowed = EXTRA +
      RATIO * requests.filter((at) => at < WINDOW_MS).length;
    t.true(wanted < allowed);
    t.true(retries.length <= allowed);
    t.true(retries.length >= 0.85 * wanted, `${retries.length} of ${wanted}`);
  });
}
