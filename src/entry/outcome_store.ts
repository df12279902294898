/** A complete response, stored for callers that repeat the request. */
export interface StoredResponse {
  status: number;
  headers: Record<string, string>;
  body: Buffer;
}

/** Outcome of an attempt; `released` means that it was not run and never will be. */
export type Outcome =
  | { state: "done"; response: StoredResponse }
  | { state: "released" }
  | { state: "unknown" };

interface AttemptSlot {
  outcome: Outcome | undefined;
  waiting: ((outcome: Outcome) => void)[];
  openedAt: number;
}

/** Outcomes of this router's attempts with an idempotency key, for routers that receive a repetition of the request. */
export class OutcomeStore {
  private readonly slots = new Map<string, AttemptSlot>();

  private constructor(
    private readonly rememberMs: number,
    private readonly maxOutcomes: number,
  ) {}

  /** Creates an empty store.
   * @param rememberMs Retention period of an outcome.
   * @param maxOutcomes Maximum number of outcomes; the oldest are evicted first. */
  static create(rememberMs: number, maxOutcomes: number): OutcomeStore {
    return new OutcomeStore(rememberMs, maxOutcomes);
  }

  /** Registers an attempt whose outcome is pending.
   * @param attempt Id of the attempt.
   * @param now Milliseconds since the epoch. */
  open(attempt: string, now: number): void {
    this.evict(now);
    this.slots.set(attempt, { outcome: undefined, waiting: [], openedAt: now });
  }

  /** Settles an attempt; later outcomes of a settled attempt are ignored.
   * @param attempt Id of the attempt.
   * @param outcome Its outcome. */
  settle(attempt: string, outcome: Outcome): void {
    const slot = this.slots.get(attempt);
    if (!slot || slot.outcome) return;
    slot.outcome = outcome;
    for (const resolve of slot.waiting) resolve(outcome);
    slot.waiting = [];
  }

  /** Returns the outcome of an attempt once it is settled.
   * It is `unknown` if the attempt is not registered here or is not settled in time.
   * @param attempt Id of the attempt.
   * @param waitMs Maximum time to wait. */
  async get(attempt: string, waitMs: number): Promise<Outcome> {
    const slot = this.slots.get(attempt);
    if (!slot) return { state: "unknown" };
    if (slot.outcome) return slot.outcome;
    return await new Promise((resolve) => {
      const timer = setTimeout(() => resolve({ state: "unknown" }), waitMs);
      slot.waiting.push((outcome) => {
        clearTimeout(timer);
        resolve(outcome);
      });
    });
  }

  /** Evicts the oldest attempts that have expired or exceed the limit; stops at the first one that is not settled. */
  private evict(now: number): void {
    for (const [attempt, slot] of this.slots) {
      const isRetained = now - slot.openedAt < this.rememberMs &&
        this.slots.size < this.maxOutcomes;
      if (isRetained) return;
      if (slot.outcome) this.slots.delete(attempt);
      else return;
    }
  }
}
