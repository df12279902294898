import { ArrivalRate } from "../admission/arrival_rate.ts";
import { hashText } from "../hashing/hasher.ts";
import type { PathTarget } from "../paths/path_target.ts";
import { UpstreamPath } from "../paths/upstream_path.ts";
import type { PublishedUpstream } from "../published/upstream_schema.ts";
import { Availability } from "./availability.ts";
import { ConnectionPool } from "./connection_pool.ts";
import { UpstreamHealth } from "./upstream_health.ts";
import { directNetwork, type UpstreamNetwork } from "./upstream_network.ts";

/** Load that an upstream reported with a response. */
export interface UpstreamReport {
  /** Running and waiting requests. */
  requests: number;
  /** Those of them that wait; undefined if it does not tell them apart. */
  waiting?: number;
  /** Time of a unit of work relative to the usual time; undefined if it does not report it. */
  slowdown?: number;
  /** Monotonic milliseconds at which the report was received. */
  at: number;
}

/** State of one instance of an upstream in this process. */
export class Upstream implements PathTarget {
  /** Idle connections to the upstream. */
  readonly connections: ConnectionPool;
  /** Health according to the outcomes of attempts. */
  readonly health = UpstreamHealth.create();
  /** How this host reaches it. */
  readonly path = UpstreamPath.create();
  /** Whether it accepts requests, according to its responses. */
  readonly availability: Availability;
  /** Hash that identifies this instance of the upstream in messages between hosts, so that information about another
   * instance is not applied to this one. */
  readonly instanceHash: number;
  /** Requests that this process has running on the upstream. */
  ownRequests = 0;
  /** Rate at which this process considers the upstream for popular prompts. */
  readonly popularArrivals = ArrivalRate.create();
  /** Monotonic milliseconds at which bytes of any of its responses were last received. */
  lastReceivedAt = -Infinity;
  /** Monotonic milliseconds at which another host last reported that it hears from it. */
  heardElsewhereAt = -Infinity;
  /** Load that it last reported with a response. */
  reported: UpstreamReport | undefined;
  /** Monotonic milliseconds until which it is used although its entry is missing; undefined while it is listed. */
  lapseEndsAt: number | undefined;
  /** Monotonic milliseconds before which it had not announced that it leaves; meaningful only while its entry says so. */
  leavingSince = -Infinity;
  /** Monotonic milliseconds at which its warm-up ends. */
  private warmUpEndsAt = -Infinity;
  /** Monotonic milliseconds at which a crash of this instance was detected. */
  crashedAt = -Infinity;
  /** Whether the operator has asked that the upstreams of its hall get no new requests. */
  isEvacuated = false;
  /** Whether it was removed from the table: it is no longer listed, or another upstream has its address. */
  isRemoved = false;

  private constructor(
    /** Latest published entry. */
    public published: PublishedUpstream,
    availability: Availability,
    network: UpstreamNetwork,
  ) {
    this.availability = availability;
    this.connections = ConnectionPool.create({
      address: published.address,
      connect: () => network.connect(this),
      isTrusted: (relayId) => network.isTrusted(this, relayId),
    });
    this.instanceHash = hashText(formatInstanceName(published));
  }

  /** Creates an upstream.
   * @param published Published entry.
   * @param availability Earlier availability of the same instance, if known.
   * @param network Establishes connections to it. */
  static create(
    published: PublishedUpstream,
    availability = Availability.create(),
    network = directNetwork,
  ): Upstream {
    return new Upstream(published, availability, network);
  }

  get id(): string {
    return this.published.id;
  }

  /** Address as ip:port. */
  get address(): string {
    return this.published.address;
  }

  /** Whether it is leaving, according to its entry or to its responses, whichever came first. */
  get isLeaving(): boolean {
    return this.published.isLeaving || this.availability.isLeaving;
  }

  /** Whether its termination is expected, because it is leaving or was removed from the table. */
  get isEndExpected(): boolean {
    return this.isLeaving || this.isRemoved;
  }

  /** Records the remaining time of its warm-up, as it published or reported it.
   * @param remainingMs Remaining time in milliseconds; 0 if it is warm.
   * @param now Monotonic milliseconds. */
  recordWarmUp(remainingMs: number, now: number): void {
    this.warmUpEndsAt = now + remainingMs;
  }

  /** Whether it is warming up after a start: it is slow and bears few requests.
   * @param now Monotonic milliseconds. */
  isWarmingUp(now: number): boolean {
    return now < this.warmUpEndsAt;
  }

  /** Returns whether requests may be sent to it. Senders also check this just before the first byte is sent.
   * @param now Monotonic milliseconds. */
  acceptsRequests(now: number): boolean {
    return !this.isEvacuated && this.availability.acceptsRequests(now);
  }

  /** Returns whether a start time identifies another instance than this one. False if either start time is unknown.
   * @param startedAt Unix milliseconds of the start; undefined if the response contains none. */
  isOtherInstance(startedAt: number | undefined): boolean {
    const own = this.published.startedAt;
    return own !== undefined && startedAt !== undefined && own !== startedAt;
  }

  /** Returns whether the upstream is likely reachable, so that other upstreams can fetch from it.
   * @param now Monotonic milliseconds. */
  isReachable(now: number): boolean {
    return this.health.isReachable(this.lastReceivedAt, now);
  }

  /** Closes the idle connections; those in use are closed after their request. */
  close(): void {
    this.connections.close();
  }
}

function formatInstanceName(
  { id, startedAt, softwareVersion }: PublishedUpstream,
): string {
  const start = startedAt === undefined ? "" : `@${startedAt}`;
  const version = softwareVersion === undefined ? "" : `/${softwareVersion}`;
  return `${id}${start}${version}`;
}
