/** Why a request was not queued: the queue is full, or its customer already occupies its share of the queue. */
export type QueueRefusal = "full" | "share";

/** Limits of a {@link WaitingQueue}. */
export interface QueueLimits {
  /** Maximum number of queued requests. */
  count: number;
  /** Fraction of them that one customer may occupy. */
  customerFraction: number;
}

/** Whether the first of two requests is taken before the second one. */
export type Precedence<T> = (first: T, second: T) => boolean;

/** A bounded queue of requests whose order is decided when one is taken. */
export class WaitingQueue<T extends { customer: string }> {
  private readonly waiting: T[] = [];

  private constructor(private readonly limits: QueueLimits) {}

  /** Creates an empty queue.
   * @param limits Its limits. */
  static create<T extends { customer: string }>(
    limits: QueueLimits,
  ): WaitingQueue<T> {
    return new WaitingQueue<T>(limits);
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
    const { count, customerFraction } = this.limits;
    if (this.waiting.length >= count) return "full";
    const customerCount =
      this.waiting.filter((other) => other.customer === item.customer).length;
    if (customerCount + 1 > Math.max(1, count * customerFraction)) {
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

  /** Returns the next request, or undefined if the queue is empty; of equal ones, the one that arrived first.
   * @param precedes The order of two requests. */
  findNext(precedes: Precedence<T>): T | undefined {
    let best: T | undefined;
    for (const item of this.waiting) {
      if (!best || precedes(item, best)) best = item;
    }
    return best;
  }
}
