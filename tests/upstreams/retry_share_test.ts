import fc from "fast-check";
import test from "ava";
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
