import { ArrivalRate } from "./arrival_rate.ts";
import { getOrCreateLruEntry } from "./lru_entry.ts";

/** Decayed request count at one host from which a prompt counts as popular. */
const POPULAR_REQUEST_COUNT = 0.5;
/** Maximum number of tracked prompts; the least recently requested one is evicted. */
const MAX_TRACKED_PROMPTS = 10_000;

/** Tracks which prompts this host has recently received more than one request for. */
export class PromptPopularity {
  private readonly requests = new Map<number, ArrivalRate>();

  private constructor() {}

  /** Creates an empty tracker. */
  static create(): PromptPopularity {
    return new PromptPopularity();
  }

  /** Records a request for a prompt and returns whether the prompt was popular before this request.
   * @param part Hash of the deepest prompt part that is shared with other requests.
   * @param now Monotonic milliseconds. */
  recordRequest(part: number, now: number): boolean {
    const rate = getOrCreateLruEntry(
      this.requests,
      part,
      () => ArrivalRate.create(),
      MAX_TRACKED_PROMPTS,
    );
    const isPopular = rate.getDecayedCount(now) >= POPULAR_REQUEST_COUNT;
    rate.recordArrival(now);
    return isPopular;
  }
}
