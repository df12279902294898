import type { PauseDetector } from "../clock/pause_detector.ts";
import type { CheckResult } from "../crashes/connection_check.ts";

/** Shortest pause of the process after which the time of a connection's end is not known, in milliseconds. It is shorter
 * than the time after which the address of an upstream may go to another. */
export const MIN_PAUSE_MS = 1_000;
/** Time after a pause within which ends that arrived during the pause are read, in milliseconds. */
const UNREAD_END_MS = 500;

/** Tells whether this process was paused. */
export type Pauses = Pick<PauseDetector, "hasPausedWithin">;

/** Ways to check whether an upstream runs. */
export interface UpstreamChecks {
  /** Checks whether something listens at its address. */
  checkAddress: () => Promise<CheckResult>;
  /** Whether the same instance still answers there; by default that can't be decided. */
  isSameInstance?: () => Promise<boolean>;
}

/** Checks whether an upstream still runs after a response without a length has ended. If this process was paused, the
 * upstream may have crashed and its address may belong to another one, so that the instance has to answer itself.
 * @param checks Ways to check it.
 * @param pauses Detects pauses of this process of at least `MIN_PAUSE_MS`. */
export async function checkUpstreamRuns(
  { checkAddress, isSameInstance }: UpstreamChecks,
  pauses: Pauses,
): Promise<CheckResult> {
  const hasPaused = () => pauses.hasPausedWithin(UNREAD_END_MS);
  if (!hasPaused()) {
    const result = await checkAddress();
    if (!hasPaused()) return result;
  }
  return await isSameInstance?.() ? "taken" : "undecided";
}
