import type { AvailabilityNotice } from "./availability_notice.ts";

/** Maximum backoff that an upstream may ask for, in milliseconds. Longer than any planned pause, so that a wrong value
 * does not exclude the upstream until it restarts. */
const MAX_BACKOFF_MS = 300_000;
/** Initial time for which an upstream that declined a request without naming a backoff is avoided while others have
 * capacity, in milliseconds. It doubles with each further decline, because attempts at upstreams that decline
 * everything use up the retries of requests that others could serve. */
const INITIAL_DECLINE_BACKOFF_MS = 150;
/** Maximum time for which such an upstream is avoided, in milliseconds. */
const MAX_DECLINE_BACKOFF_MS = 2_400;
/** Limit of unanswered trial requests from which an upstream is used without a limit again. The limit starts at one and
 * doubles with each trial request that the upstream accepts. */
const MAX_TRIAL_LIMIT = 16;

/** Change of an upstream's availability. */
export type AvailabilityChange = "backs_off" | "reopened" | "leaves";

/** Whether one instance of an upstream accepts requests, according to its responses to this host. The state is not
 * shared: other hosts may still send requests to the upstream, and another instance under the same id starts afresh.
 * The requested backoff is honored because a constant one sends each upstream four to six requests where one is wanted,
 * and callers are refused while other upstreams are idle, because their attempts go to the full ones. */
export class Availability {
  /** Called on each change. */
  onChange: (change: AvailabilityChange) => void = () => undefined;
  private backoffEndsAt = -Infinity;
  private declineBackoffEndsAt = -Infinity;
  /** Declines without a backoff since the last accepted request. */
  private consecutiveDeclines = 0;
  private hasAnnouncedLeaving = false;
  /** Maximum number of unanswered trial requests after a backoff or a decline; undefined if there is no limit. */
  private trialLimit: number | undefined;
  /** Trial requests that are unanswered. */
  private trialsInFlight = 0;

  private constructor() {}

  /** Creates the availability of an upstream that has not answered yet. */
  static create(): Availability {
    return new Availability();
  }

  /** Whether the upstream has announced that it is leaving. Holds for the lifetime of the instance. */
  get isLeaving(): boolean {
    return this.hasAnnouncedLeaving;
  }

  /** Whether requests may be sent at all.
   * @param now Monotonic milliseconds. */
  acceptsRequests(now: number): boolean {
    return !this.hasAnnouncedLeaving && now >= this.backoffEndsAt;
  }

  /** Whether the upstream likely has capacity for one more request. It may be tried without capacity if no upstream has
   * any.
   * @param now Monotonic milliseconds. */
  hasCapacity(now: number): boolean {
    if (now < this.declineBackoffEndsAt) return false;
    return this.trialLimit === undefined ||
      this.trialsInFlight < this.trialLimit;
  }

  /** Remaining time of the requested backoff in milliseconds, or 0.
   * @param now Monotonic milliseconds. */
  getBackoffMs(now: number): number {
    return Math.max(0, this.backoffEndsAt - now);
  }

  /** Applies the notice of a response. If backoffs overlap, the one that ends last counts.
   * @param notice Notice of the response.
   * @param now Monotonic milliseconds. */
  recordNotice(
    { backoffMs, isLeaving }: AvailabilityNotice,
    now: number,
  ): void {
    if (isLeaving) this.recordLeaving();
    if (backoffMs === undefined) return;
    const wasBackingOff = now < this.backoffEndsAt;
    const endsAt = now + Math.min(backoffMs, MAX_BACKOFF_MS);
    this.backoffEndsAt = Math.max(this.backoffEndsAt, endsAt);
    // If all hosts resumed at once, they would overload the upstream before its first response tells them so.
    this.trialLimit = 1;
    if (!wasBackingOff) this.onChange("backs_off");
  }

  /** Records that the upstream is leaving. */
  recordLeaving(): void {
    if (this.hasAnnouncedLeaving) return;
    this.hasAnnouncedLeaving = true;
    this.onChange("leaves");
  }

  /** Records that the upstream declined a request without naming a backoff. Further declines during the resulting
   * backoff are ignored, so that requests that were in flight at the first decline count once.
   * @param now Monotonic milliseconds. */
  recordDecline(now: number): void {
    if (now < this.declineBackoffEndsAt) return;
    const durationMs = INITIAL_DECLINE_BACKOFF_MS *
      2 ** this.consecutiveDeclines;
    this.declineBackoffEndsAt = now +
      Math.min(MAX_DECLINE_BACKOFF_MS, durationMs);
    this.consecutiveDeclines += 1;
    this.trialLimit = 1;
  }

  /** Records that the upstream accepted a request. */
  recordAccepted(): void {
    this.consecutiveDeclines = 0;
  }

  /** Records that a request is being sent and returns whether it is a trial request. */
  beginRequest(): boolean {
    if (this.trialLimit === undefined) return false;
    this.trialsInFlight += 1;
    return true;
  }

  /** Records that a trial request was answered or has ended.
   * @param wasAccepted Whether the upstream accepted it. */
  endTrial(wasAccepted: boolean): void {
    this.trialsInFlight -= 1;
    if (!wasAccepted || this.trialLimit === undefined) return;
    this.trialLimit *= 2;
    if (this.trialLimit < MAX_TRIAL_LIMIT) return;
    this.trialLimit = undefined;
    this.onChange("reopened");
  }
}
