/** Time for which an increase must last before it takes effect: requests that other routers started within their part
 * of the capacity must end first. */
const INCREASE_DELAY_MS = 3_000;

/** The fraction of routers that the load bound assumes to be reachable. Decreases take effect at once, increases after
 * a delay. */
export class ReachableFraction {
  private effective = 1;
  private increaseSince: number | undefined;

  private constructor() {}

  /** Creates an instance for a router that reaches all others. */
  static create(): ReachableFraction {
    return new ReachableFraction();
  }

  /** Records the observed fraction and returns the one in effect.
   * @param observed Fraction of the listed routers that are reachable now.
   * @param now Monotonic time in milliseconds. */
  update(observed: number, now: number): number {
    if (observed <= this.effective) {
      this.effective = observed;
      this.increaseSince = undefined;
      return this.effective;
    }
    this.increaseSince ??= now;
    if (now - this.increaseSince >= INCREASE_DELAY_MS) {
      this.effective = observed;
      this.increaseSince = undefined;
    }
    return this.effective;
  }
}
