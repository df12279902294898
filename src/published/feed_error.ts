import type { FeedFailure } from "./publication_feed.ts";

/** A failed read from a publication feed. */
export class FeedError extends Error {
  private constructor(
    /** Reason of the failure. */
    readonly failure: FeedFailure,
  ) {
    super(failure.kind === "unavailable" ? failure.detail : failure.kind);
  }

  /** Creates an error.
   * @param failure Reason of the failure. */
  static create(failure: FeedFailure): FeedError {
    return new FeedError(failure);
  }
}
