/** Time for which a greater share is awaited: requests that others started in their part must end first. */
const GROWTH_DELAY_MS = 3_000;

/** The part of the routers that counts as heard for the bound: it shrinks at once and grows late. */
export class HeardShare {
  private used = 1;
  private greaterSince: number | undefined;

  private constructor() {}

  /** Creates one for a router that hears all. */
  static create(): HeardShare {
    return new HeardShare();
  }

  /** Returns the part that counts now.
   * @param heard Part of the listed routers heard now.
   * @param now Monotonic milliseconds. */
  get(heard: number, now: number): number {
    if (heard <= this.used) {
      this.used = heard;
      this.greaterSince = undefined;
      return this.used;
    }
    this.greaterSince ??= now;
    if (now - this.greaterSince >= GROWTH_DELAY_MS) {
      this.used = heard;
      this.greaterSince = undefined;
    }
    return this.used;
  }
}
