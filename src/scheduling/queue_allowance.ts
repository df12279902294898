import type { RequestWork } from "./request_work.ts";

/** Time for which a route counts as in use after its last request, in milliseconds. */
const ROUTE_TTL_MS = 10_000;
/** Smallest queue that a request may find, as a fraction of its objective: requests that are late because of their own
 * work need not start at once. */
const MIN_QUEUE_FRACTION = 0.25;

/** A request's needs, as far as the queue that it may find at an upstream depends on them. */
export interface QueueNeeds extends Pick<RequestWork, "route"> {
  /** 0 is the most urgent. */
  urgency: number;
  /** Latency objective of the route, in milliseconds. */
  objectiveMs: number;
  /** Time for which the request works at an upstream until it meets its objective, in milliseconds. */
  workMs: number;
}

/** How long the queue at an upstream may be for the requests of one route. */
interface RouteAllowance {
  urgency: number;
  allowanceMs: number;
  usedAt: number;
}

/** Determines how long the queue may be that a request joins at an upstream: short enough for its own objective, and for
 * the objectives of requests that are at least as urgent and come after it, since upstreams serve in order of arrival. */
export class QueueAllowance {
  private readonly routes = new Map<string, RouteAllowance>();

  private constructor() {}

  /** Creates an allowance that knows no routes. */
  static create(): QueueAllowance {
    return new QueueAllowance();
  }

  /** Records a request and returns the longest queue that it may join, in milliseconds.
   * @param needs Its needs.
   * @param now Monotonic milliseconds. */
  record(needs: QueueNeeds, now: number): number {
    const { route, urgency, objectiveMs, workMs } = needs;
    const allowanceMs = Math.max(
      objectiveMs - workMs,
      objectiveMs * MIN_QUEUE_FRACTION,
    );
    this.routes.set(route, { urgency, allowanceMs, usedAt: now });
    let shortestMs = allowanceMs;
    for (const [name, other] of this.routes) {
      if (now - other.usedAt > ROUTE_TTL_MS) this.routes.delete(name);
      else if (other.urgency <= urgency) {
        shortestMs = Math.min(shortestMs, other.allowanceMs);
      }
    }
    return shortestMs;
  }
}
