import type { Random } from "../random/random.ts";
import type { RetryDecision } from "./retry_decision.ts";

/** Fraction of the fleet's retry budget that is used; the rest is reserved because hosts do not know each other's
 * usage. */
const USED_FRACTION = 0.7;
/** Number of slots in the sliding window. */
const SLOTS_PER_WINDOW = 10;

/** Retry budget of the fleet. */
export interface RetryBudgetOptions {
  /** Retries allowed per request. */
  ratio: number;
  /** Additional retries allowed per window, for the whole fleet. */
  extra: number;
  /** Length of the sliding window in milliseconds. */
  windowMs: number;
  /** Returns the number of hosts that may share the budget. */
  countHosts: () => number;
  random: Random;
}

interface Slot {
  number: number;
  requests: number;
  retries: number;
}

/** This host's share of the fleet's retry budget for one service, over a sliding window. In a large fleet a share is a
 * few retries, so each host rounds its share at random: always rounding down would make the fleet refuse a fifth of the
 * retries when many upstreams fail at once. */
export class RetryBudgetShare {
  private slots: Slot[] = [];
  /** Fraction of a retry above which the share is rounded up. */
  private readonly rounding: number;
  private readonly createdAt: number;

  private constructor(
    private readonly options: RetryBudgetOptions,
    now: number,
  ) {
    this.rounding = options.random.fraction();
    this.createdAt = now;
  }

  /** Creates an unused share.
   * @param options Retry budget of the fleet.
   * @param now Monotonic milliseconds. */
  static create(options: RetryBudgetOptions, now: number): RetryBudgetShare {
    return new RetryBudgetShare(options, now);
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
    const requests = this.slots.reduce((sum, slot) => sum + slot.requests, 0);
    const spent = this.slots.reduce((sum, slot) => sum + slot.retries, 0);
    const { ratio, extra, countHosts } = this.options;
    const hosts = Math.max(1, countHosts());
    const allowed = USED_FRACTION * (ratio * requests + extra / hosts);
    return {
      isAllowed: spent + this.rounding < allowed,
      spent,
      allowed,
      requests,
      hosts,
      observedMs: now - this.createdAt,
    };
  }

  private getSlot(now: number): Slot {
    const number = Math.floor(now / (this.options.windowMs / SLOTS_PER_WINDOW));
    this.slots = this.slots.filter((slot) =>
      slot.number > number - SLOTS_PER_WINDOW
    );
    const last = this.slots.at(-1);
    if (last?.number === number) return last;
    const slot = { number, requests: 0, retries: 0 };
    this.slots.push(slot);
    return slot;
  }
}
