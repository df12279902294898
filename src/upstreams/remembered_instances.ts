import { readClock } from "../clock/clock.ts";
import type { PublishedUpstream } from "../published/upstream_schema.ts";
import type { Availability } from "./availability.ts";
import { isSameInstance } from "../published/is_same_instance.ts";
import type { Upstream } from "./upstream.ts";

/** Maximum number of removed instances that are remembered; more than lapse at once in the largest fleet. */
const MAX_REMEMBERED_INSTANCES = 10_000;

/** Removed instances of upstreams that had announced leaving or asked for a backoff; their entries may come back. */
export class RememberedInstances {
  private readonly byId = new Map<string, Upstream>();

  private constructor() {}

  /** Creates an empty collection. */
  static create(): RememberedInstances {
    return new RememberedInstances();
  }

  /** Remembers the availability of a removed instance that accepts no requests at present.
   * @param upstream The instance. */
  remember(upstream: Upstream): void {
    if (upstream.availability.acceptsRequests(readClock())) return;
    this.byId.delete(upstream.id);
    this.byId.set(upstream.id, upstream);
    if (this.byId.size <= MAX_REMEMBERED_INSTANCES) return;
    const [oldest] = this.byId.keys();
    this.byId.delete(oldest!);
  }

  /** Returns and forgets the availability of an instance that is listed again; undefined if there is none.
   * @param published Its entry. */
  takeAvailability(published: PublishedUpstream): Availability | undefined {
    const before = this.byId.get(published.id);
    this.byId.delete(published.id);
    return before && isSameInstance(before.published, published)
      ? before.availability
      : undefined;
  }
}
