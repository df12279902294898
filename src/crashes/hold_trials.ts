/** Time after a trial without a completion until the next one, in milliseconds: a crash is confirmed within it. */
const RETRY_TRIAL_MS = 5_000;
/** Time after which a trial without an outcome no longer counts, in milliseconds. */
const TRIAL_TIMEOUT_MS = 60_000;

/** Trials of one held cause. */
interface CauseTrials {
  /** Monotonic milliseconds at which the trials in progress started, by request id. */
  readonly startedAt: Map<string, number>;
  /** Maximum number of trials in progress at once; doubles with each that completes. */
  limit: number;
  /** Monotonic milliseconds until which no trial starts. */
  blockedUntil: number;
}

/** Requests that are sent although they are held, to learn whether they still crash upstreams. */
export class HoldTrials {
  private readonly trials = new Map<string, CauseTrials>();

  private constructor() {}

  /** Creates a register without trials. */
  static create(): HoldTrials {
    return new HoldTrials();
  }

  /** Starts a trial of a cause; returns whether it may start now.
   * @param cause Key of the cause.
   * @param requestId Id of the request.
   * @param now Monotonic milliseconds. */
  tryStart(cause: string, requestId: string, now: number): boolean {
    const trials = this.trials.get(cause) ??
      { startedAt: new Map(), limit: 1, blockedUntil: -Infinity };
    for (const [id, startedAt] of trials.startedAt) {
      if (now - startedAt >= TRIAL_TIMEOUT_MS) trials.startedAt.delete(id);
    }
    const isFull = trials.startedAt.size >= trials.limit;
    if (isFull || now < trials.blockedUntil) return false;
    trials.startedAt.set(requestId, now);
    this.trials.set(cause, trials);
    return true;
  }

  /** Records that a request completed; if it was a trial, more may be in progress at once.
   * @param requestId Id of the request. */
  recordCompletion(requestId: string): void {
    for (const trials of this.trials.values()) {
      if (trials.startedAt.delete(requestId)) trials.limit *= 2;
    }
  }

  /** Records that a request ended; if it was a trial without a completion, the next ones start one at a time.
   * @param requestId Id of the request.
   * @param now Monotonic milliseconds. */
  recordEnd(requestId: string, now: number): void {
    for (const trials of this.trials.values()) {
      if (!trials.startedAt.delete(requestId)) continue;
      trials.limit = 1;
      trials.blockedUntil = now + RETRY_TRIAL_MS;
    }
  }

  /** Discards the trials of causes that are no longer held.
   * @param held Keys of the held causes. */
  retain(held: ReadonlySet<string>): void {
    for (const cause of [...this.trials.keys()]) {
      if (!held.has(cause)) this.trials.delete(cause);
    }
  }
}
