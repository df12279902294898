/** Whom a waiting or running request belongs to. */
export interface ShareholderStructure {
  customer: string;
  partner: string;
  /** 0 is the least urgent. */
  priority: number;
  /** Part of the capacity the customer is entitled to, between 0 and 1. */
  capacityShare: number;
}

/** Part of the queue that one customer may fill. */
const CUSTOMER_QUEUE_PART = 0.5;

/** Why a request may not wait. */
export type QueueRefusal = "full" | "share";

/** Requests waiting for one upstream, and the order in which they go.
 * Customers below their share go first, the more urgent before the less, then those who use least of their share;
 * a customer alone may use everything. */
export class FairQueue<T extends ShareholderStructure> {
  private waiting: T[] = [];
  private readonly running = new Map<string, number>();

  private constructor(private readonly limit: number) {}

  /** Creates an empty queue.
   * @param limit Most requests that wait. */
  static create<T extends ShareholderStructure>(limit: number): FairQueue<T> {
    return new FairQueue<T>(limit);
  }

  /** Number of requests that wait. */
  get length(): number {
    return this.waiting.length;
  }

  /** The requests that wait, in order of arrival. */
  get items(): readonly T[] {
    return this.waiting;
  }

  /** Adds a request, or says why it may not wait.
   * @param item The request. */
  push(item: T): QueueRefusal | undefined {
    if (this.waiting.length >= this.limit) return "full";
    const ofCustomer =
      this.waiting.filter((other) => other.customer === item.customer).length;
    if (ofCustomer + 1 > Math.max(1, this.limit * CUSTOMER_QUEUE_PART)) {
      return "share";
    }
    this.waiting.push(item);
    return undefined;
  }

  /** Removes a request that no longer waits.
   * @param item The request.
   * @returns Whether it was waiting. */
  remove(item: T): boolean {
    const index = this.waiting.indexOf(item);
    if (index < 0) return false;
    this.waiting.splice(index, 1);
    return true;
  }

  /** Records that a request started.
   * @param item The request. */
  started(item: T): void {
    this.running.set(item.customer, (this.running.get(item.customer) ?? 0) + 1);
  }

  /** Records that a request ended.
   * @param item The request. */
  ended(item: T): void {
    const left = (this.running.get(item.customer) ?? 0) - 1;
    if (left > 0) this.running.set(item.customer, left);
    else this.running.delete(item.customer);
  }

  /** Takes the request that goes next, or nothing where none waits.
   * @param cap Requests the upstream may carry, of which the shares are parts. */
  take(cap: number): T | undefined {
    let best: T | undefined;
    for (const item of this.waiting) {
      if (!best || this.goesBefore(item, best, cap)) best = item;
    }
    if (best) this.remove(best);
    return best;
  }

  private goesBefore(a: T, b: T, cap: number): boolean {
    const usedByA = this.usedShare(a, cap);
    const usedByB = this.usedShare(b, cap);
    const entitledA = usedByA < 1;
    const entitledB = usedByB < 1;
    if (entitledA !== entitledB) return entitledA;
    if (a.priority !== b.priority) return a.priority > b.priority;
    return usedByA < usedByB;
  }

  /** Requests running, as a part of those the customer is entitled to. */
  private usedShare(item: T, cap: number): number {
    return (this.running.get(item.customer) ?? 0) /
      Math.max(1, item.capacityShare * cap);
  }
}
