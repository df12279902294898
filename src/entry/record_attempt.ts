import type { Host } from "../configuration_service/host_schema.ts";
import type { UpstreamInstance } from "../crashes/crash_detector.ts";
import type { TrackedRequest } from "../crashes/interrupted_request.ts";
import type { CrashGuard } from "../crashes/crash_guard.ts";
import { hashText } from "../hashing/hasher.ts";
import type { AttemptOutcome } from "./attempt.ts";

/** A finished attempt. */
export interface FinishedAttempt {
  request: TrackedRequest;
  /** The upstream that the request was sent to; undefined if it is no longer in the host list. */
  upstream: Host | undefined;
  outcome: AttemptOutcome;
  /** Whether events of the response arrived during the attempt. */
  hasReceivedEvents: boolean;
}

/** Reports to the crash guard that an attempt was completed, or that it failed and may have run.
 * @param guard The crash guard.
 * @param attempt The finished attempt. */
export function recordAttempt(
  guard: CrashGuard,
  attempt: FinishedAttempt,
): void {
  const {
    request,
    upstream,
    outcome,
    hasReceivedEvents,
  } = attempt;
  if (outcome.type === "done") {
    guard.recordCompletion(request, hasReceivedEvents);
  }
  const isBroken = outcome.type === "failed" && outcome.ran === "unknown";
  if (!isBroken || !upstream) return;
  guard.recordInterruption(
    toUpstreamInstance(upstream),
    request,
    hasReceivedEvents,
  );
}

function toUpstreamInstance(
  { id, address, port, state }: Host,
): UpstreamInstance {
  return {
    id,
    instanceHash: hashText(id),
    address: `${address}:${port}`,
    isEndExpected: state === "leaving",
  };
}
