import test from "ava";
import { GracefulStop } from "../../src/gateway/graceful_stop.ts";
import {
  HostStatus,
  type HostStatusOptions,
} from "../../src/gateway/host_status.ts";

const STOP_LIMIT_MS = 8_000;
/** Time to retry that callers whose requests take a few seconds can still use, in milliseconds. */
const USABLE_RETRY_MS = 1_000;

function createStatus(phases: readonly string[]): HostStatus {
  const stop = GracefulStop.create();
  stop.start(STOP_LIMIT_MS);
  return HostStatus.create({
    stop,
    getLiveHosts: () => phases.map((phase) => ({ entry: { phase } })),
  } as unknown as HostStatusOptions);
}

// Guards against callers that are told to come back only after their deadline.
test("callers of a stopping host may retry soon, at once if another host takes requests", (t) => {
  t.is(createStatus(["draining", "ready"]).stopRetryMs, 0);
  const alone = createStatus(["draining"]).stopRetryMs;
  t.true(alone > 0 && alone <= USABLE_RETRY_MS, String(alone));
});
