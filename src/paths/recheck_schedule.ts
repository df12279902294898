import type { Timeline } from "../clock/timeline.ts";
import type { PathTarget } from "./path_target.ts";

/** Time until a lost path is first checked again, in milliseconds; it doubles up to the maximum. */
const FIRST_RECHECK_MS = 250;
const MAX_RECHECK_MS = 1_000;

/** Schedules the checks of lost paths, with a delay that grows from check to check. */
export class RecheckSchedule {
  /** Cancels the next check of each lost path, by instance hash. */
  private readonly pending = new Map<number, () => void>();

  private constructor(
    private readonly timeline: Timeline,
    private readonly recheck: (target: PathTarget) => void,
  ) {}

  /** Creates a schedule without checks.
   * @param timeline The timeline.
   * @param recheck Checks a path; called until it is cancelled. */
  static create(
    timeline: Timeline,
    recheck: (target: PathTarget) => void,
  ): RecheckSchedule {
    return new RecheckSchedule(timeline, recheck);
  }

  /** Starts the checks of a path that was lost just now.
   * @param target The upstream. */
  start(target: PathTarget): void {
    this.schedule(target, FIRST_RECHECK_MS);
  }

  /** Has a path checked at once, and then as one that was lost just now.
   * @param target The upstream. */
  expedite(target: PathTarget): void {
    this.schedule(target, 0);
  }

  /** Ends the checks of a path.
   * @param instanceHash Hash of the upstream instance. */
  cancel(instanceHash: number): void {
    this.pending.get(instanceHash)?.();
    this.pending.delete(instanceHash);
  }

  /** Ends all checks. */
  close(): void {
    for (const cancel of this.pending.values()) cancel();
    this.pending.clear();
  }

  private schedule(target: PathTarget, delayMs: number): void {
    this.cancel(target.instanceHash);
    const cancel = this.timeline.after(delayMs, () => {
      const nextMs = Math.max(FIRST_RECHECK_MS, 2 * delayMs);
      this.schedule(target, Math.min(MAX_RECHECK_MS, nextMs));
      this.recheck(target);
    });
    this.pending.set(target.instanceHash, cancel);
  }
}
