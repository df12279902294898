import type { Random } from "../random/random.ts";

/** Part of the fleet's retry budget that is used; the rest is kept for what hosts cannot know of each other. */
const USED_FRACTION = 0.7;
/** Slots that a window is counted in. */
const SLOTS_PER_WINDOW = 10;

/** What the budget of the fleet is. */
export interface RetryBudgetOptions {
  /** Retries allowed for each request. */
  ratio: number;
  /** Retries allowed beyond that in a window, for the whole fleet. */
  extra: number;
  windowMs: number;
  /** Hosts that may share the budget. */
  countHosts: () => number;
  random: Random;
}

interface Slot {
  number: number;
  requests: number;
  retries: number;
}

/** This host's share of the fleet's retry budget for one service, over a sliding window. In a large fleet a share is a few
 * retries, so that hosts round it at random: always down, the fleet would refuse a fifth of the retries when many
 * upstreams fail at once. */
export class RetryShare {
  private slots: Slot[] = [];
  /** Fraction of a retry above which the share allows one more. */
  private readonly rounding: number;

  private constructor(private readonly options: RetryBudgetOptions) {
    this.rounding = options.random.fraction();
  }

  /** Creates an unused share.
   * @param options What the budget of the fleet is. */
  static create(options: RetryBudgetOptions): RetryShare {
    return new RetryShare(options);
  }

  /** Counts a request that was sent for the first time.
   * @param now Monotonic milliseconds. */
  noteRequest(now: number): void {
    this.getSlot(now).requests += 1;
  }

  /** Takes one retry; returns whether the share had one left.
   * @param now Monotonic milliseconds. */
  spend(now: number): boolean {
    const slot = this.getSlot(now);
    const requests = this.slots.reduce((sum, one) => sum + one.requests, 0);
    const retries = this.slots.reduce((sum, one) => sum + one.retries, 0);
    const { ratio, extra, countHosts } = this.options;
    const allowed = ratio * requests + extra / Math.max(1, countHosts());
    if (retries + this.rounding >= USED_FRACTION * allowed) return false;
    slot.retries += 1;
    return true;
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
