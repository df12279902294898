/** Time of one step of an engine in milliseconds, and what each request held adds to it. */
const STEP_MS = 3.23;
const STEP_MS_PER_REQUEST = 0.0483;
/** Steps in one event of an answer. */
const STEPS_PER_EVENT = 7;
/** Time to the first event beside the reading of the prompt, in milliseconds. */
const FIRST_EVENT_MS = 47;
/** Tokens of a prompt that are read in a millisecond. */
const TOKENS_PER_MS = 112;

/** How long a batching engine takes for requests; it keeps each prompt that it has read. */
export class EngineTiming {
  /** Tokens of shared prompts that it had to read. */
  readTokens = 0;
  private readonly kept = new Set<number>();
  private readyAt = 0;

  private constructor() {}

  /** Creates the timing of an engine that keeps nothing. */
  static create(): EngineTiming {
    return new EngineTiming();
  }

  /** Reads a prompt, unless it is kept; returns the time to the first event in milliseconds.
   * @param prompt Number of the prompt.
   * @param tokens Its tokens.
   * @param now Monotonic milliseconds. */
  read(prompt: number, tokens: number, now: number): number {
    if (!this.kept.has(prompt)) {
      this.kept.add(prompt);
      this.readTokens += tokens;
      this.readyAt = Math.max(now, this.readyAt) + tokens / TOKENS_PER_MS;
    }
    return FIRST_EVENT_MS + Math.max(0, this.readyAt - now);
  }

  /** Time of some events in milliseconds.
   * @param events The events.
   * @param held Requests that the engine holds. */
  getEventsMs(events: number, held: number): number {
    return events * STEPS_PER_EVENT * (STEP_MS + STEP_MS_PER_REQUEST * held);
  }
}
