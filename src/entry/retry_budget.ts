/** Limits retries to a fraction of recent requests, so that an outage does not multiply the load.
 * A token bucket: each request adds a fraction of a token, each retry takes one. */
export class RetryBudget {
  private tokens: number;

  private constructor(
    private readonly tokensPerRequest: number,
    private readonly maxTokens: number,
  ) {
    this.tokens = maxTokens;
  }

  /** Creates a full budget.
   * @param tokensPerRequest Retries that each request adds to the budget.
   * @param maxTokens Maximum number of retries in the budget. */
  static create(tokensPerRequest: number, maxTokens: number): RetryBudget {
    return new RetryBudget(tokensPerRequest, maxTokens);
  }

  /** Adds the tokens of a new request. */
  recordRequest(): void {
    this.tokens = Math.min(this.maxTokens, this.tokens + this.tokensPerRequest);
  }

  /** Takes a token for a retry; returns false if the budget is exhausted. */
  tryAcquire(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
