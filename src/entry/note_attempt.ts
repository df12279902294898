import type { Host } from "../configuration_service/host_schema.ts";
import type { CheckedUpstream } from "../crashes/crash_detector.ts";
import type { CrashGuard } from "../crashes/crash_guard.ts";
import { hashText } from "../hashing/hasher.ts";
import type { AttemptOutcome } from "./attempt.ts";

/** One attempt that has ended. */
export interface EndedAttempt {
  fingerprint: number;
  /** Where the request was sent; undefined where that is no longer listed. */
  upstream: Host | undefined;
  outcome: AttemptOutcome;
  /** Whether it brought events. */
  isAnsweredInPart: boolean;
}

/** Tells the guard of an attempt that its upstream ran to its end, or broke.
 * @param guard The guard.
 * @param attempt The attempt. */
export function noteAttempt(guard: CrashGuard, attempt: EndedAttempt): void {
  const { fingerprint, upstream, outcome, isAnsweredInPart } = attempt;
  if (outcome.type === "done") guard.noteServed(fingerprint);
  const isBroken = outcome.type === "failed" && outcome.ran === "unknown";
  if (!isBroken || !upstream) return;
  guard.noteBroken(toChecked(upstream), fingerprint, isAnsweredInPart);
}

function toChecked({ id, address, port, state }: Host): CheckedUpstream {
  return {
    id,
    shortName: hashText(id),
    address: `${address}:${port}`,
    isEndExpected: state === "leaving",
  };
}
