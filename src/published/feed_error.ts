import type { FeedFailure } from "./publication_feed.ts";

/** A read of what is published that failed. */
export class FeedError extends Error {
  private constructor(
    /** Why it failed. */
    readonly failure: FeedFailure,
  ) {
    super(failure.kind === "unavailable" ? failure.detail : failure.kind);
  }

  /** Creates an error.
   * @param failure Why the read failed. */
  static create(failure: FeedFailure): FeedError {
    return new FeedError(failure);
  }
}
