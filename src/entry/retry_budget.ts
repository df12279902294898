/** Allows retries as a part of recent first attempts, so that an outage never multiplies the load. */
export class RetryBudget {
  private tokens: number;

  private constructor(
    private readonly ratio: number,
    private readonly reserve: number,
  ) {
    this.tokens = reserve;
  }

  /** Creates a full budget.
   * @param ratio Retries earned by each first attempt.
   * @param reserve Most retries that are saved up. */
  static create(ratio: number, reserve: number): RetryBudget {
    return new RetryBudget(ratio, reserve);
  }

  /** Records a first attempt. */
  earn(): void {
    this.tokens = Math.min(this.reserve, this.tokens + this.ratio);
  }

  /** Takes a retry; returns whether there was one. */
  spend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
