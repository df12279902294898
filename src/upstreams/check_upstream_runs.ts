import type { PauseDetector } from "../clock/pause_detector.ts";
import type { CheckResult } from "../crashes/connection_check.ts";

/** Shortest pause of the process after which the time of a connection's end is not known, in milliseconds. It is shorter
 * than the time after which the address of an upstream may go to another. */
export const MIN_PAUSE_MS = 1_000;
/** Time after a pause within which ends that arrived during the pause are read, in milliseconds. */
const UNREAD_END_MS = 500;

/** Tells whether this process was paused. */
export type Pauses = Pick<PauseDetector, "hasPausedWithin">;

/** Checks whether an upstream still runs after a response without a length has ended. The upstream may have crashed and
 * its address may belong to another one if this process was paused, so the check is then undecided.
 * @param checkAddress Checks whether something listens at the address of the upstream.
 * @param pauses Detects pauses of this process of at least `MIN_PAUSE_MS`. */
export async function checkUpstreamRuns(
  checkAddress: () => Promise<CheckResult>,
  pauses: Pauses,
): Promise<CheckResult> {
  if (pauses.hasPausedWithin(UNREAD_END_MS)) return "undecided";
  const result = await checkAddress();
  return pauses.hasPausedWithin(UNREAD_END_MS) ? "undecided" : result;
}
