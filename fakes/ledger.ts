/** One execution of a request as an upstream saw it. */
export interface LedgerRun {
  requestId: string;
  /** Idempotency key; "" if the request had none. */
  key: string;
  chat: string;
  startedAt: number;
  endedAt: number | undefined;
  promptTokens: number;
  cachedTokens: number;
  /** Event that the run started from. */
  resumeFrom: number;
  /** Body of a service call. */
  body: string;
}

/** Record of what an upstream did. Tests and reports rely on it alone, not on what routers say. */
export class Ledger {
  readonly runs: LedgerRun[] = [];
  /** Requests in flight after each change, as pairs of Unix milliseconds and the number. */
  readonly loads: [number, number][] = [];
  readonly orders: { fence: number; models: string[]; isAccepted: boolean }[] =
    [];
  /** Times of the requests that were declined, because the upstream was leaving or asked for a backoff. */
  readonly declinedAt: number[] = [];
  peakInFlight = 0;

  private constructor() {}

  /** Creates an empty ledger. */
  static create(): Ledger {
    return new Ledger();
  }

  /** Records the number of requests in flight.
   * @param inFlight The current number. */
  recordLoad(inFlight: number): void {
    this.loads.push([Date.now(), inFlight]);
    this.peakInFlight = Math.max(this.peakInFlight, inFlight);
  }
}
