import type { CrashCause } from "./analyze_crashes.ts";

/** Pause after which a crash counts as that of a trial, in milliseconds. */
const TRIAL_PAUSE_MS = 20_000;
/** Duration of a hold after the last crash, in milliseconds, by the number of trials that crashed an upstream. The last
 * one applies to all further ones. */
const HOLD_DURATIONS_MS = [30_000, 300_000, 3_600_000, 86_400_000] as const;

/** Prompt parts that are held, that is, whose prompts are refused because they likely crash upstreams. */
export interface PartHold {
  /** Identifies the parts. */
  readonly key: string;
  readonly cause: CrashCause;
  /** Monotonic milliseconds after which single prompts are sent as trials. */
  readonly heldUntil: number;
}

/** Returns the key of a hold.
 * @param parts Hashes of the held parts, in ascending order. */
export function createHoldKey(parts: readonly number[]): string {
  return parts.join(",");
}

/** Creates the hold of a cause.
 * @param cause The cause.
 * @param crashTimes Monotonic milliseconds of its crashes, in ascending order; at least one. */
export function createPartHold(
  cause: CrashCause,
  crashTimes: readonly number[],
): PartHold {
  const trials =
    crashTimes.filter((at, index) =>
      index > 0 && at - crashTimes[index - 1]! > TRIAL_PAUSE_MS
    ).length;
  const durationMs = HOLD_DURATIONS_MS[trials] ?? HOLD_DURATIONS_MS.at(-1)!;
  return {
    key: createHoldKey(cause.parts),
    cause,
    heldUntil: crashTimes.at(-1)! + durationMs,
  };
}
