import { ArrivalRate } from "./arrival_rate.ts";
import { useEntry } from "./use_entry.ts";

/** Recent requests for a prompt at one host from which on the prompt counts as popular. */
const POPULAR_COUNT = 0.5;
/** Prompts that are remembered; the one asked for longest ago gives way. */
const MAX_PROMPTS = 10_000;

/** Which prompts this host was asked for more than once lately. */
export class Popularity {
  private readonly requests = new Map<number, ArrivalRate>();

  private constructor() {}

  /** Creates one that knows no prompts. */
  static create(): Popularity {
    return new Popularity();
  }

  /** Counts a request for a prompt; returns whether the prompt was popular before it.
   * @param part Short name of the deepest part that requests share.
   * @param now Monotonic milliseconds. */
  noteRequest(part: number, now: number): boolean {
    const rate = useEntry(
      this.requests,
      part,
      () => ArrivalRate.create(),
      MAX_PROMPTS,
    );
    const isPopular = rate.getCount(now) >= POPULAR_COUNT;
    rate.note(now);
    return isPopular;
  }
}
