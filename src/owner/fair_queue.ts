import {
  type QueueRefusal,
  WaitingQueue,
} from "../scheduling/waiting_queue.ts";

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

/** A weighted fair queue of the requests waiting for one upstream.
 * Customers below their capacity share go first, then higher priorities, then customers that use the least of their
 * share. A customer without competition may use the whole capacity. */
export class FairQueue<T extends QueueItem> {
  private readonly running = new Map<string, number>();

  private constructor(private readonly waiting: WaitingQueue<T>) {}

  /** Creates an empty queue.
   * @param limit Maximum number of queued requests. */
  static create<T extends QueueItem>(limit: number): FairQueue<T> {
    return new FairQueue<T>(WaitingQueue.create<T>({
      count: limit,
      customerFraction: MAX_CUSTOMER_QUEUE_FRACTION,
    }));
  }

  /** Number of queued requests. */
  get length(): number {
    return this.waiting.length;
  }

  /** The queued requests, in order of arrival. */
  get items(): readonly T[] {
    return this.waiting.items;
  }

  /** Queues a request.
   * @param item The request.
   * @returns Why the request was not queued, or undefined if it was. */
  push(item: T): QueueRefusal | undefined {
    return this.waiting.push(item);
  }

  /** Removes a request from the queue.
   * @param item The request.
   * @returns Whether it was queued. */
  remove(item: T): boolean {
    return this.waiting.remove(item);
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
    const best = this.waiting.findNext((item, other) =>
      this.precedes(item, other, cap)
    );
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
