import type { Timeline } from "../clock/timeline.ts";
import type { PathTarget } from "./path_target.ts";

/** Time until a lost path is first checked again, in milliseconds; it doubles up to the maximum. */
const FIRST_RECHECK_MS = 250;
const MAX_RECHECK_MS = 1_000;
/** Minimum time between two checks, in milliseconds. It bounds the work of a host that has lost the paths to very many
 * upstreams; the other hosts check these as well. */
export const RECHECK_PACE_MS = 10;

/** Schedules the checks of lost paths, with a delay that grows from check to check, at a bounded rate. */
export class RecheckSchedule {
  /** Cancels the timer of each lost path whose check is not due yet, by instance hash. */
  private readonly timers = new Map<number, () => void>();
  /** The lost paths whose check is due, by instance hash, with the delay until the next one; the first is checked
   * first. */
  private readonly due = new Map<
    number,
    { target: PathTarget; nextMs: number }
  >();
  private stopPace: (() => void) | undefined;
  private isClosed = false;

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

  /** Has a path checked as soon as possible, and then as one that was lost just now.
   * @param target The upstream. */
  expedite(target: PathTarget): void {
    if (this.due.has(target.instanceHash)) return;
    this.schedule(target, 0);
  }

  /** Ends the checks of a path.
   * @param instanceHash Hash of the upstream instance. */
  cancel(instanceHash: number): void {
    this.timers.get(instanceHash)?.();
    this.timers.delete(instanceHash);
    this.due.delete(instanceHash);
  }

  /** Ends all checks, also those that connections still in progress would start. */
  close(): void {
    this.isClosed = true;
    for (const cancel of this.timers.values()) cancel();
    this.timers.clear();
    this.due.clear();
    this.stopPace?.();
  }

  private schedule(target: PathTarget, delayMs: number): void {
    if (this.isClosed) return;
    const { instanceHash } = target;
    this.cancel(instanceHash);
    const nextMs = Math.min(
      MAX_RECHECK_MS,
      Math.max(FIRST_RECHECK_MS, 2 * delayMs),
    );
    const cancel = this.timeline.after(delayMs, () => {
      this.timers.delete(instanceHash);
      this.due.set(instanceHash, { target, nextMs });
      if (!this.stopPace) this.checkNext();
    });
    this.timers.set(instanceHash, cancel);
  }

  /** Checks the path that has been due for longest, and the next one after the minimum time. */
  private checkNext(): void {
    this.stopPace = undefined;
    const [first] = this.due.values();
    if (!first) return;
    const { target, nextMs } = first;
    this.stopPace = this.timeline.after(
      RECHECK_PACE_MS,
      () => this.checkNext(),
    );
    this.schedule(target, nextMs);
    this.recheck(target);
  }
}
