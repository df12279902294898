/** A whole answer, kept for callers who ask again. */
export interface KeptAnswer {
  status: number;
  headers: Record<string, string>;
  body: Buffer;
}

/** What became of an attempt. */
export type Outcome =
  | { state: "done"; answer: KeptAnswer }
  | { state: "released" }
  | { state: "unknown" };

interface Slot {
  outcome: Outcome | undefined;
  waiting: ((outcome: Outcome) => void)[];
  openedAt: number;
}

/** The outcomes of this router's keyed attempts, for the routers where a caller asks again. */
export class OutcomeStore {
  private readonly slots = new Map<string, Slot>();

  private constructor(
    private readonly rememberMs: number,
    private readonly maxAnswers: number,
  ) {}

  /** Creates an empty store.
   * @param rememberMs Time for which an outcome is kept.
   * @param maxAnswers Most outcomes kept; the oldest are dropped first. */
  static create(rememberMs: number, maxAnswers: number): OutcomeStore {
    return new OutcomeStore(rememberMs, maxAnswers);
  }

  /** Opens an attempt whose outcome will be settled.
   * @param attempt The attempt.
   * @param now Milliseconds. */
  open(attempt: string, now: number): void {
    this.expire(now);
    this.slots.set(attempt, { outcome: undefined, waiting: [], openedAt: now });
  }

  /** Settles an attempt; only the first outcome counts.
   * @param attempt The attempt.
   * @param outcome What became of it. */
  settle(attempt: string, outcome: Outcome): void {
    const slot = this.slots.get(attempt);
    if (!slot || slot.outcome) return;
    slot.outcome = outcome;
    for (const resolve of slot.waiting) resolve(outcome);
    slot.waiting = [];
  }

  /** Returns an attempt's outcome, waiting for it; unknown where it is not known here or not in time.
   * @param attempt The attempt.
   * @param waitMs Time to wait. */
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

  private expire(now: number): void {
    for (const [attempt, slot] of this.slots) {
      const isKept = now - slot.openedAt < this.rememberMs &&
        this.slots.size < this.maxAnswers;
      if (isKept) return;
      if (slot.outcome) this.slots.delete(attempt);
      else return;
    }
  }
}
