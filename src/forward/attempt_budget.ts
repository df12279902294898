import { mayRunAgain, type RoutedCall } from "./routed_call.ts";

/** Upstreams that a request may be brought to without running there: out of reach, full, or gone. */
const MAX_UNRUN_ATTEMPTS = 4;

/** Counts a call's attempts, and tells whether there may be another. */
export class AttemptBudget {
  private ranAttempts = 0;
  private unrunAttempts = 0;

  private constructor(
    private readonly call: RoutedCall,
    private readonly spendOfService: (service: string) => boolean,
  ) {}

  /** Creates a budget of which nothing is used.
   * @param call The call.
   * @param spendOfService Takes a retry from the budget of a service; returns whether there was one. */
  static create(
    call: RoutedCall,
    spendOfService: (service: string) => boolean,
  ): AttemptBudget {
    return new AttemptBudget(call, spendOfService);
  }

  /** Whether an attempt that has ended may have run the request. */
  get mayHaveRun(): boolean {
    return this.ranAttempts > 0;
  }

  /** Counts an attempt that may have run the request. */
  noteRan(): void {
    this.ranAttempts += 1;
  }

  /** Counts an attempt that certainly did not run. */
  noteUnrun(): void {
    this.unrunAttempts += 1;
  }

  /** Whether the call and its route allow that the request runs once more.
   * @param underWay Attempts under way, which may run it too. */
  allowsRun(underWay = 0): boolean {
    return mayRunAgain(this.call) &&
      this.ranAttempts + underWay < this.call.route.maxAttempts;
  }

  /** Takes another attempt after one that may have run; returns whether there may be one. */
  spendAfterRun(): boolean {
    return this.allowsRun() && this.spendRetry();
  }

  /** Takes another attempt after one that reached no upstream; returns whether there may be one. The next is the first to
   * arrive, so that the service's budget, which is of arrivals beyond the first, isn't touched. */
  spendAfterUnsent(): boolean {
    return this.unrunAttempts < MAX_UNRUN_ATTEMPTS;
  }

  /** Takes another attempt after one that certainly did not run; returns whether there may be one. */
  spendAfterUnrun(): boolean {
    return this.unrunAttempts < MAX_UNRUN_ATTEMPTS && this.spendRetry();
  }

  /** Takes a retry from the budget of the call's service; returns whether there was one. */
  spendRetry(): boolean {
    return this.spendOfService(this.call.service);
  }
}
