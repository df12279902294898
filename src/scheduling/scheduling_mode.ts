/** Time for which a reported slowdown keeps scheduling by time in force, in milliseconds. Longer than the longest outage
 * in which no upstream of a fleet responds. */
const REPORT_LIFETIME_MS = 60_000;

/** How requests are scheduled: by the number of requests on each upstream, or by the time that each upstream needs. */
export type SchedulingBasis = "count" | "time";

/** Decides whether a deployment is scheduled by time: its upstreams ask for it by reporting how much slower than usual
 * they currently work. Without such reports, requests are scheduled by count. */
export class SchedulingMode {
  private reportedAt = -Infinity;

  private constructor() {}

  /** Creates a mode that schedules by count until a slowdown is reported. */
  static create(): SchedulingMode {
    return new SchedulingMode();
  }

  /** Records the slowdown that an upstream of the deployment reported.
   * @param slowdown Time of a unit of work relative to the usual time; undefined if the upstream reports none.
   * @param now Monotonic milliseconds. */
  recordSlowdown(slowdown: number | undefined, now: number): void {
    if (slowdown !== undefined) this.reportedAt = now;
  }

  /** Returns the basis in force.
   * @param now Monotonic milliseconds. */
  getBasis(now: number): SchedulingBasis {
    return now - this.reportedAt < REPORT_LIFETIME_MS ? "time" : "count";
  }
}
