/** Duration of one decoding step in milliseconds, and the part that each request in flight adds to it. */
const BASE_STEP_MS = 3.23;
const STEP_MS_PER_REQUEST = 0.0483;
/** Decoding steps per event of a response. */
const STEPS_PER_EVENT = 7;
/** Time to the first event in addition to the prefill of the prompt, in milliseconds. */
const FIRST_EVENT_OVERHEAD_MS = 47;
/** Prompt tokens prefilled per millisecond. */
const PREFILL_TOKENS_PER_MS = 112;

/** Timing model of a batching engine that caches every prompt it has prefilled. */
export class EngineTiming {
  /** Tokens of shared prompts prefilled so far, cache hits excluded. */
  prefilledTokens = 0;
  private readonly cachedPrompts = new Set<number>();
  private prefillEndsAt = 0;

  private constructor() {}

  /** Creates the timing model of an engine with an empty cache. */
  static create(): EngineTiming {
    return new EngineTiming();
  }

  /** Prefills a prompt unless it is cached. Returns the time to the first event in milliseconds.
   * @param prompt Number of the prompt.
   * @param tokens Length of the prompt in tokens.
   * @param now Monotonic milliseconds. */
  prefill(prompt: number, tokens: number, now: number): number {
    if (!this.cachedPrompts.has(prompt)) {
      this.cachedPrompts.add(prompt);
      this.prefilledTokens += tokens;
      this.prefillEndsAt = Math.max(now, this.prefillEndsAt) +
        tokens / PREFILL_TOKENS_PER_MS;
    }
    return FIRST_EVENT_OVERHEAD_MS + Math.max(0, this.prefillEndsAt - now);
  }

  /** Time to decode a number of events, in milliseconds.
   * @param events Number of events.
   * @param held Requests in flight on the engine. */
  getDecodeMs(events: number, held: number): number {
    return events * STEPS_PER_EVENT *
      (BASE_STEP_MS + STEP_MS_PER_REQUEST * held);
  }
}
