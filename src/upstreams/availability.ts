import type { AvailabilityNotice } from "./availability_notice.ts";

/** Longest time for which an upstream is left alone at its own word, in milliseconds: above any pause that is planned, so
 * that a mistaken figure doesn't take an upstream out until it starts again. */
const MAX_BACKOFF_MS = 300_000;
/** First time for which an upstream that is full and names no time is left out while others are free, in milliseconds; it
 * doubles with each try that is turned away, for attempts at upstreams that turn all away use up the retries of requests which
 * others could serve. */
const INITIAL_DECLINE_BACKOFF_MS = 150;
/** Longest such time, in milliseconds. */
const MAX_DECLINE_BACKOFF_MS = 2_400;
/** Requests under way unanswered from which an upstream that was left alone is used as any other; the count begins at one
 * and doubles with each that the upstream takes. */
const MAX_TRIAL_LIMIT = 16;

/** How what is known of an upstream's availability has changed. */
export type AvailabilityChange = "backs_off" | "reopened" | "leaves";

/** What one start of an upstream has said, in its answers to this host, of whether it takes requests. The word is between the
 * two: other hosts may send there, and another start under the same id knows nothing of it. Left out for a constant time
 * whatever they asked for, upstreams got four to six requests each where one was wanted, and callers were refused while others
 * were idle, for their attempts went to the full ones. */
export class Availability {
  /** Told of each change. */
  onChange: (change: AvailabilityChange) => void = () => undefined;
  private backoffEndsAt = -Infinity;
  private declineBackoffEndsAt = -Infinity;
  /** Times in a row that it was found full. */
  private consecutiveDeclines = 0;
  private hasAnnouncedLeaving = false;
  /** Requests that may be under way unanswered after it was left out; undefined where any number may. */
  private trialLimit: number | undefined;
  /** Requests begun after it was left out that are under way unanswered. */
  private trialsInFlight = 0;

  private constructor() {}

  /** Creates the availability of an upstream that has said nothing. */
  static create(): Availability {
    return new Availability();
  }

  /** Whether it has said that it is leaving, which holds as long as the start lasts. */
  get isLeaving(): boolean {
    return this.hasAnnouncedLeaving;
  }

  /** Whether a request may be sent at all. Whatever sends one asks this, just before the first byte leaves too.
   * @param now Monotonic milliseconds. */
  takesRequests(now: number): boolean {
    return !this.hasAnnouncedLeaving && now >= this.backoffEndsAt;
  }

  /** Whether it likely has room for one more; where no other upstream has, one that likely has none is asked all the same.
   * @param now Monotonic milliseconds. */
  hasRoom(now: number): boolean {
    if (now < this.declineBackoffEndsAt) return false;
    return this.trialLimit === undefined ||
      this.trialsInFlight < this.trialLimit;
  }

  /** Time that is left of the backoff that it asked for, in milliseconds, or 0.
   * @param now Monotonic milliseconds. */
  getBackoffMs(now: number): number {
    return Math.max(0, this.backoffEndsAt - now);
  }

  /** Takes what an answer says. Of backoffs that overlap, the one that ends last holds.
   * @param notice What the answer says.
   * @param now Monotonic milliseconds. */
  note({ backoffMs, isLeaving }: AvailabilityNotice, now: number): void {
    if (isLeaving) this.recordLeaving();
    if (backoffMs === undefined) return;
    const wasBackingOff = now < this.backoffEndsAt;
    const endsAt = now + Math.min(backoffMs, MAX_BACKOFF_MS);
    this.backoffEndsAt = Math.max(this.backoffEndsAt, endsAt);
    // Hosts that all come back at once would fill the upstream again before its first answer shows that.
    this.trialLimit = 1;
    if (!wasBackingOff) this.onChange("backs_off");
  }

  /** Takes word that the upstream is leaving. */
  recordLeaving(): void {
    if (this.hasAnnouncedLeaving) return;
    this.hasAnnouncedLeaving = true;
    this.onChange("leaves");
  }

  /** Takes that it turned a request away and named no time. What was under way beside the first counts once.
   * @param now Monotonic milliseconds. */
  noteFull(now: number): void {
    if (now < this.declineBackoffEndsAt) return;
    const durationMs = INITIAL_DECLINE_BACKOFF_MS *
      2 ** this.consecutiveDeclines;
    this.declineBackoffEndsAt = now +
      Math.min(MAX_DECLINE_BACKOFF_MS, durationMs);
    this.consecutiveDeclines += 1;
    this.trialLimit = 1;
  }

  /** Takes that it took a request. */
  noteTaken(): void {
    this.consecutiveDeclines = 0;
  }

  /** Counts a request that is being sent; returns whether it is one of those that try the upstream after it was left out. */
  beginRequest(): boolean {
    if (this.trialLimit === undefined) return false;
    this.trialsInFlight += 1;
    return true;
  }

  /** Takes that a request which tries the upstream was answered, or has ended.
   * @param wasAccepted Whether the upstream took it. */
  endTrial(wasAccepted: boolean): void {
    this.trialsInFlight -= 1;
    if (!wasAccepted || this.trialLimit === undefined) return;
    this.trialLimit *= 2;
    if (this.trialLimit < MAX_TRIAL_LIMIT) return;
    this.trialLimit = undefined;
    this.onChange("reopened");
  }
}
