import { ArrivalRate } from "../admission/arrival_rate.ts";
import { hashText } from "../hashing/hasher.ts";
import type { PublishedUpstream } from "../published/upstream_schema.ts";
import { Availability } from "./availability.ts";
import { ConnectionPool } from "./connection_pool.ts";
import { UpstreamHealth } from "./upstream_health.ts";

/** One upstream as this process knows and uses it. */
export class Upstream {
  /** Connections to it. */
  readonly channels: ConnectionPool;
  /** What its answers say of its health. */
  readonly health = UpstreamHealth.create();
  /** What its answers say of whether it takes requests. */
  readonly availability: Availability;
  /** Short name of this start of the upstream in what hosts tell each other, so that word of another start is not taken
   * for its own. */
  readonly shortName: number;
  /** Requests that this process has running there. */
  ownRequests = 0;
  /** How often this process has considered it for popular prompts. */
  readonly popularArrivals = ArrivalRate.create();
  /** Monotonic milliseconds at which any of its answers last brought bytes. */
  heardAt = -Infinity;
  /** Requests that it told of itself with an answer, running and waiting, and the monotonic milliseconds of that. */
  reported: { requests: number; at: number } | undefined;
  /** Monotonic milliseconds up to which it is used although its entry is missing; undefined while it is listed. */
  lapseEndsAt: number | undefined;
  /** Monotonic milliseconds at which this start was found to have crashed. */
  crashedAt = -Infinity;
  /** Whether it is gone from the list, or another has its address. */
  isRemoved = false;

  private constructor(
    /** What it last published. */
    public published: PublishedUpstream,
    availability: Availability,
  ) {
    this.availability = availability;
    this.channels = ConnectionPool.create(published.address);
    this.shortName = hashText(formatInstanceName(published));
  }

  /** Creates an upstream.
   * @param published What it published.
   * @param availability What this start has said before, where it is known. */
  static create(
    published: PublishedUpstream,
    availability = Availability.create(),
  ): Upstream {
    return new Upstream(published, availability);
  }

  /** Its id. */
  get id(): string {
    return this.published.id;
  }

  /** Address as ip:port. */
  get address(): string {
    return this.published.address;
  }

  /** Whether it leaves, by its entry or by its own word, whichever came first. */
  get isLeaving(): boolean {
    return this.published.isLeaving || this.availability.isLeaving;
  }

  /** Whether its end is no surprise: it has said that it leaves, or is gone from the list. */
  get isEndExpected(): boolean {
    return this.isLeaving || this.isRemoved;
  }

  /** Whether a start that an answer tells is another than this one, as far as both are known.
   * @param startedAt Unix milliseconds of the start; undefined where the answer tells none. */
  isOtherStart(startedAt: number | undefined): boolean {
    const own = this.published.startedAt;
    return own !== undefined && startedAt !== undefined && own !== startedAt;
  }

  /** Whether it is likely there, so that other upstreams can fetch from it.
   * @param now Monotonic milliseconds. */
  isWithinReach(now: number): boolean {
    return this.health.isReachable(this.heardAt, now);
  }

  /** Closes the idle connections; those in use close with their request. */
  close(): void {
    this.channels.close();
  }
}

function formatInstanceName({ id, startedAt }: PublishedUpstream): string {
  return startedAt === undefined ? id : `${id}@${startedAt}`;
}
