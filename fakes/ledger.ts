/** One run of a request as an upstream saw it. */
export interface LedgerRun {
  requestId: string;
  /** Idempotency key, where one came. */
  key: string;
  chat: string;
  startedAt: number;
  endedAt: number | undefined;
  promptTokens: number;
  cachedTokens: number;
  /** Event the run started from. */
  resumeFrom: number;
  /** Body of a service call. */
  body: string;
}

/** What an upstream writes down of itself; tests and reports judge by it alone. */
export class Ledger {
  readonly runs: LedgerRun[] = [];
  /** Requests in flight, sampled at each change: milliseconds since the epoch and the number. */
  readonly loads: [number, number][] = [];
  readonly orders: { fence: number; models: string[]; taken: boolean }[] = [];
  /** Times at which work came that was refused because the upstream was leaving. */
  readonly refusedAt: number[] = [];
  peakInFlight = 0;

  private constructor() {}

  /** Creates an empty ledger. */
  static create(): Ledger {
    return new Ledger();
  }

  /** Writes down the requests in flight.
   * @param inFlight The number now. */
  recordLoad(inFlight: number): void {
    this.loads.push([Date.now(), inFlight]);
    this.peakInFlight = Math.max(this.peakInFlight, inFlight);
  }
}
