import type { AvailabilityNotice } from "./availability_notice.ts";

/** Longest time for which an upstream is left alone at its own word, in milliseconds: above any pause that is planned, so
 * that a mistaken figure doesn't take an upstream out until it starts again. */
const MAX_BACKOFF_MS = 300_000;

/** What one start of an upstream has said in its answers to this host of whether it takes requests. */
export class Availability {
  private backoffEndsAt = -Infinity;
  private hasSaidLeaving = false;

  private constructor() {}

  /** Creates the availability of an upstream that has said nothing. */
  static create(): Availability {
    return new Availability();
  }

  /** Whether it has said that it is leaving, which holds as long as the start lasts. */
  get isLeaving(): boolean {
    return this.hasSaidLeaving;
  }

  /** Time that is left of the backoff that it asked for, in milliseconds, or 0.
   * @param now Monotonic milliseconds. */
  getBackoffMs(now: number): number {
    return Math.max(0, this.backoffEndsAt - now);
  }

  /** Takes what an answer says. Of backoffs that overlap, the one that ends last holds.
   * @param notice What the answer says.
   * @param now Monotonic milliseconds. */
  note({ backoffMs, isLeaving }: AvailabilityNotice, now: number): void {
    if (isLeaving) this.hasSaidLeaving = true;
    if (backoffMs === undefined) return;
    const endsAt = now + Math.min(backoffMs, MAX_BACKOFF_MS);
    this.backoffEndsAt = Math.max(this.backoffEndsAt, endsAt);
  }
}
