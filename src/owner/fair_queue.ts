/** The properties of a request that determine its order in the queue. */
export interface QueueItem {
  customer: string;
  partner: string;
  /** Higher values go first; 0 is the lowest priority. */
  priority: number;
  /** Fraction of the upstream's capacity that the customer is entitled to, between 0 and 1. */
  capacityShare: number;
}

/** Fraction of the queue that one customer may occupy. */
const MAX_CUSTOMER_QUEUE_FRACTION = 0.5;

/** Why a request was not queued: the queue is full, or its customer already occupies its share of the queue. */
export type QueueRefusal = "full" | "share";

/** A weighted fair queue of the requests waiting for one upstream.
 * Customers below their capacity share go first, then higher priorities, then customers that use the least of their
 * share. A customer without competition may use the whole capacity. */
export class FairQueue<T extends QueueItem> {
  private waiting: T[] = [];
  private readonly running = new Map<string, number>();

  private constructor(private readonly limit: number) {}

  /** Creates an empty queue.
   * @param limit Maximum number of queued requests. */
  static create<T extends QueueItem>(limit: number): FairQueue<T> {
    return new FairQueue<T>(limit);
  }

  /** Number of queued requests. */
  get length(): number {
    return this.waiting.length;
  }

  /** The queued requests, in order of arrival. */
  get items(): readonly T[] {
    return this.waiting;
  }

  /** Queues a request.
   * @param item The request.
   * @returns Why the request was not queued, or undefined if it was. */
  push(item: T): QueueRefusal | undefined {
    if (this.waiting.length >= this.limit) return "full";
    const customerCount =
      this.waiting.filter((other) => other.customer === item.customer).length;
    if (
      customerCount + 1 > Math.max(1, this.limit * MAX_CUSTOMER_QUEUE_FRACTION)
    ) {
      return "share";
    }
    this.waiting.push(item);
    return undefined;
  }

  /** Removes a request from the queue.
   * @param item The request.
   * @returns Whether it was queued. */
  remove(item: T): boolean {
    const index = this.waiting.indexOf(item);
    if (index < 0) return false;
    this.waiting.splice(index, 1);
    return true;
  }

  /** Counts a request as running for its customer.
   * @param item The request. */
  markStarted(item: T): void {
    this.running.set(item.customer, (this.running.get(item.customer) ?? 0) + 1);
  }

  /** Counts a request as no longer running for its customer.
   * @param item The request. */
  markEnded(item: T): void {
    const remaining = (this.running.get(item.customer) ?? 0) - 1;
    if (remaining > 0) this.running.set(item.customer, remaining);
    else this.running.delete(item.customer);
  }

  /** Removes and returns the next request, or undefined if the queue is empty.
   * @param cap Maximum number of requests in flight on the upstream, which the capacity shares are fractions of. */
  take(cap: number): T | undefined {
    let best: T | undefined;
    for (const item of this.waiting) {
      if (!best || this.precedes(item, best, cap)) best = item;
    }
    if (best) this.remove(best);
    return best;
  }

  private precedes(a: T, b: T, cap: number): boolean {
    const usageOfA = this.getShareUsage(a, cap);
    const usageOfB = this.getShareUsage(b, cap);
    const isAWithinShare = usageOfA < 1;
    const isBWithinShare = usageOfB < 1;
    if (isAWithinShare !== isBWithinShare) return isAWithinShare;
    if (a.priority !== b.priority) return a.priority > b.priority;
    return usageOfA < usageOfB;
  }

  /** Returns the customer's running requests relative to its entitlement; 1 means that it uses its whole share. */
  private getShareUsage(item: T, cap: number): number {
    return (this.running.get(item.customer) ?? 0) /
      Math.max(1, item.capacityShare * cap);
  }
}
