import type { Random } from "../random/random.ts";
import type { RetryDecision } from "./retry_decision.ts";

/** Fraction of the fleet's retry budget that the hosts use once their records cover a whole window. */
const COVERED_FRACTION = 0.7;
/** Fraction that a host uses until then: the rest, because an earlier process of the host may have used the above within
 * the window. */
const UNCOVERED_FRACTION = 1 - COVERED_FRACTION;
/** Number of slots in the sliding window; requests and retries count for up to one slot longer. */
const SLOTS_PER_WINDOW = 50;

/** Limits of the fleet's retries to one service. */
export interface RetryBudgetLimits {
  /** Retries allowed per request. */
  ratio: number;
  /** Additional retries allowed per window, for the whole fleet. */
  extra: number;
  /** Length of the sliding window in milliseconds. */
  windowMs: number;
}

/** Dependencies of a {@link RetryBudgetShare}. */
export interface RetryBudgetShareOptions {
  /** Returns the current limits; called for each request and retry. */
  getLimits: () => RetryBudgetLimits;
  /** Returns the number of hosts that may share the budget; undefined while it is not known. */
  getFleetSize: () => number | undefined;
  /** Returns the part of the fleet's hosts that has not been lost within a time, in milliseconds. */
  getRetainedFraction: (withinMs: number) => number;
  random: Random;
  /** Monotonic milliseconds from which on all requests and retries of the host are recorded; minus infinity if it had
   * none before. */
  recordedSince: number;
}

interface Slot {
  /** Monotonic milliseconds. */
  endsAt: number;
  /** Requests that the host received. */
  requests: number;
  /** Part of these that counts. Callers of lost hosts have moved to the others, but the lost hosts may have used the
   * budget for the part of the requests that was theirs. */
  weight: number;
  retries: number;
}

/** This host's share of the fleet's retry budget for one service, over a sliding window. A process that has just started
 * does not know which retries an earlier process of the host sent within the window. It uses a smaller part of the
 * budget, which is reserved for such processes, until its own records cover the window. In a large fleet a share is a
 * few retries, so each host rounds its share at random: always rounding down would make the fleet refuse a fifth of the
 * retries when many upstreams fail at once. */
export class RetryBudgetShare {
  private readonly slots: Slot[] = [];
  /** Fraction of a retry above which the share is rounded up. */
  private readonly rounding: number;
  /** Monotonic milliseconds from which on the slots are complete. */
  private recordedSince: number;

  private constructor(private readonly options: RetryBudgetShareOptions) {
    this.rounding = options.random.fraction();
    this.recordedSince = options.recordedSince;
  }

  /** Creates an unused share.
   * @param options Its dependencies. */
  static create(options: RetryBudgetShareOptions): RetryBudgetShare {
    return new RetryBudgetShare(options);
  }

  /** Records the first attempt of a request.
   * @param now Monotonic milliseconds. */
  recordRequest(now: number): void {
    this.getSlot(now).requests += 1;
  }

  /** Takes one retry from the share if any is left.
   * @param now Monotonic milliseconds. */
  tryAcquire(now: number): RetryDecision {
    const slot = this.getSlot(now);
    const decision = this.decide(now);
    if (decision.isAllowed) slot.retries += 1;
    return decision;
  }

  private decide(now: number): RetryDecision {
    const requests = this.slots.reduce(
      (sum, { requests, weight }) => sum + requests * weight,
      0,
    );
    const spent = this.slots.reduce((sum, slot) => sum + slot.retries, 0);
    const { ratio, extra, windowMs } = this.options.getLimits();
    const hosts = this.options.getFleetSize();
    const ownExtra = hosts === undefined ? 0 : extra / hosts;
    const coverage = Math.min(1, (now - this.recordedSince) / windowMs);
    const fraction = coverage < 1 ? UNCOVERED_FRACTION : COVERED_FRACTION;
    // The additional retries accrue with the time, so that starts in series do not multiply them.
    const allowed = fraction * (ratio * requests + coverage * ownExtra);
    return {
      isAllowed: spent + this.rounding < allowed,
      spent,
      allowed,
      requests,
      hosts,
      coverage,
    };
  }

  private getSlot(now: number): Slot {
    const { windowMs } = this.options.getLimits();
    this.removeExpired(now - windowMs);
    const last = this.slots.at(-1);
    if (last && now < last.endsAt) return last;
    const slotMs = windowMs / SLOTS_PER_WINDOW;
    const endsAt = (Math.floor(now / slotMs) + 1) * slotMs;
    const weight = this.options.getRetainedFraction(windowMs);
    const slot = { endsAt, requests: 0, weight, retries: 0 };
    this.slots.push(slot);
    return slot;
  }

  private removeExpired(windowStart: number): void {
    while (this.slots.length > 0 && this.slots[0]!.endsAt <= windowStart) {
      this.recordedSince = Math.max(
        this.recordedSince,
        this.slots.shift()!.endsAt,
      );
    }
  }
}
