import { type QueueRefusal, WaitingQueue } from "./waiting_queue.ts";

/** Maximum number of waiting requests. */
const MAX_REQUESTS = 64;
/** Maximum total size of the bodies of waiting requests, in bytes. */
const MAX_BYTES = 4_194_304;
/** Fraction of the waiting requests that one customer may have. */
const MAX_CUSTOMER_FRACTION = 0.5;

/** A request that waits at this host for room at the upstreams of a service. */
export interface WaitingRequest {
  /** Customer of the request; empty if it has none. */
  customer: string;
  /** 0 is the most urgent. */
  urgency: number;
  /** Size of the request's body, in bytes. */
  bytes: number;
  /** Monotonic milliseconds at which it arrived. */
  arrivedAt: number;
  /** Monotonic milliseconds until which it may wait. */
  waitsUntil: number;
  /** Monotonic milliseconds at which its objective ends. */
  objectiveEndsAt: number;
}

/** Why a request may not wait. */
export type WaitingRefusal = QueueRefusal | "bytes";

/** The requests that wait at this host for one service. The most urgent goes first, then the customer that uses the least
 * of its share, then the request whose objective ends first. A request counts as more urgent the longer it has waited. */
export class WaitingRoom<T extends WaitingRequest> {
  private readonly queue = WaitingQueue.create<T>({
    count: MAX_REQUESTS,
    customerFraction: MAX_CUSTOMER_FRACTION,
  });
  private bytes = 0;

  private constructor(
    private readonly getUsage: (customer: string, now: number) => number,
  ) {}

  /** Creates an empty room.
   * @param getUsage Returns the use of a customer relative to its share. */
  static create<T extends WaitingRequest>(
    getUsage: (customer: string, now: number) => number,
  ): WaitingRoom<T> {
    return new WaitingRoom<T>(getUsage);
  }

  /** Number of waiting requests. */
  get length(): number {
    return this.queue.length;
  }

  /** Adds a request.
   * @param request The request.
   * @returns Why it may not wait, or undefined if it does. */
  add(request: T): WaitingRefusal | undefined {
    if (this.bytes + request.bytes > MAX_BYTES) return "bytes";
    const refusal = this.queue.push(request);
    if (refusal === undefined) this.bytes += request.bytes;
    return refusal;
  }

  /** Removes a request, for example because its caller has left.
   * @param request The request.
   * @returns Whether it was waiting. */
  remove(request: T): boolean {
    const isRemoved = this.queue.remove(request);
    if (isRemoved) this.bytes -= request.bytes;
    return isRemoved;
  }

  /** Returns the request that goes first, which stays in the room; undefined if none waits.
   * @param now Monotonic milliseconds. */
  findNext(now: number): T | undefined {
    return this.queue.findNext((first, second) =>
      this.compare(first, second, now) < 0
    );
  }

  /** Returns a request that may not wait any longer; undefined if there is none.
   * @param now Monotonic milliseconds. */
  findOver(now: number): T | undefined {
    return this.queue.items.find(({ waitsUntil }) => waitsUntil <= now);
  }

  /** Returns the monotonic milliseconds at which the first request may not wait any longer; infinity if none waits. */
  getFirstEnd(): number {
    return this.queue.items.reduce(
      (first, { waitsUntil }) => Math.min(first, waitsUntil),
      Infinity,
    );
  }

  private compare(first: T, second: T, now: number): number {
    return getAgedUrgency(first, now) - getAgedUrgency(second, now) ||
      this.getUsage(first.customer, now) -
        this.getUsage(second.customer, now) ||
      first.objectiveEndsAt - second.objectiveEndsAt;
  }
}

/** Returns the urgency of a request, which approaches 0 as its time to wait ends. */
function getAgedUrgency(
  { urgency, arrivedAt, waitsUntil }: WaitingRequest,
  now: number,
): number {
  const timeMs = waitsUntil - arrivedAt;
  const left = timeMs > 0 ? Math.max(0, (waitsUntil - now) / timeMs) : 0;
  return Math.ceil(urgency * left);
}
