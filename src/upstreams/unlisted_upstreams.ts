import type { Upstream } from "./upstream.ts";

/** Time for which an upstream that is no longer listed counts as present, in milliseconds. Leaving upstreams continue
 * to serve slightly longer than the two seconds after which they get no new requests. */
const UNLISTED_TTL_MS = 3_000;

/** Upstreams that were removed from the list so recently that they still answer other upstreams. */
export class UnlistedUpstreams {
  /** Monotonic milliseconds of the removal of each upstream. */
  private readonly removedAt = new Map<Upstream, number>();

  private constructor() {}

  /** Creates a collection without upstreams. */
  static create(): UnlistedUpstreams {
    return new UnlistedUpstreams();
  }

  /** Adds an upstream that is no longer listed.
   * @param upstream The upstream.
   * @param now Monotonic milliseconds. */
  add(upstream: Upstream, now: number): void {
    this.removedAt.set(upstream, now);
  }

  /** Removes an upstream that is listed again.
   * @param upstream The upstream. */
  delete(upstream: Upstream): void {
    this.removedAt.delete(upstream);
  }

  /** Returns the upstreams of a service that still count as present.
   * @param service Name of the service.
   * @param now Monotonic milliseconds. */
  getPresent(service: string, now: number): Upstream[] {
    for (const [upstream, removedAt] of this.removedAt) {
      if (now - removedAt > UNLISTED_TTL_MS) this.removedAt.delete(upstream);
    }
    return [...this.removedAt.keys()].filter((upstream) =>
      upstream.published.service === service
    );
  }
}
