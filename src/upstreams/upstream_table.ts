import { readClock } from "../clock/clock.ts";
import type { Logger } from "../logging/logger.ts";
import type { UpstreamChange } from "../published/publication_feed.ts";
import type { PublishedUpstream } from "../published/upstream_schema.ts";
import type { Availability, AvailabilityChange } from "./availability.ts";
import { logAvailability } from "./log_availability.ts";
import { Upstream } from "./upstream.ts";

/** Part of the time in which a leaving upstream may get work for which one that disappeared just after an outage of the
 * platform is used at most: entries that lapsed meanwhile come back within two seconds. */
const LAPSE_GRACE_FRACTION = 0.8;
/** Time for which an upstream that is gone from the list is still taken to be there, in milliseconds: leaving ones
 * serve on for a little longer than the two seconds after which they get no new work. */
const UNLISTED_RETENTION_MS = 3_000;

/** Time for which an upstream that crashed gets nothing, in milliseconds: about as long as its entry stays, and a start
 * takes. */
const CRASH_EXCLUSION_MS = 3_000;

/** Starts that are remembered after they were taken out; above what lapses at once in the largest fleet. */
const MAX_REMEMBERED_INSTANCES = 10_000;

/** What the table needs. */
export interface UpstreamTableOptions {
  logger: Logger;
  /** Monotonic milliseconds up to which a missing entry may only have lapsed while the platform was away; in the past
   * where it was not away lately. */
  getLapseEndsAt: () => number;
  /** Time after which a leaving upstream may get no new work, in milliseconds. */
  leaveWithinMs: number;
  /** Told of an upstream that has started again under its id, before it is taken out: what was under way on the start
   * before is lost. */
  onRestart: (before: Upstream) => void;
  /** Told of what an upstream has said of whether it takes requests, where that changed. */
  onAvailability: (change: AvailabilityChange) => void;
  /** Told of each upstream that is taken out. */
  onDrop: (upstream: Upstream) => void;
}

/** The upstreams that are known, by service. */
export class UpstreamTable {
  private readonly byId = new Map<string, Upstream>();
  private readonly byService = new Map<string, Upstream[]>();
  /** Upstreams gone from the list, with the monotonic milliseconds at which they went. */
  private readonly recentlyUnlisted = new Map<Upstream, number>();
  /** By id, starts that were taken out although they said to be left alone: their entries may come back. */
  private readonly rememberedInstances = new Map<string, Upstream>();

  private constructor(private readonly options: UpstreamTableOptions) {}

  /** Creates an empty table.
   * @param options What it needs. */
  static create(options: UpstreamTableOptions): UpstreamTable {
    return new UpstreamTable(options);
  }

  /** All upstreams. */
  getAll(): Iterable<Upstream> {
    return this.byId.values();
  }

  /** Returns an upstream, or nothing.
   * @param shortName Short name of the start. */
  findByShortName(shortName: number): Upstream | undefined {
    return [...this.byId.values()].find((one) => one.shortName === shortName);
  }

  /** The upstreams of a service that new requests may go to.
   * @param service Name of the service. */
  getServing(service: string): Upstream[] {
    return (this.byService.get(service) ?? []).filter((upstream) =>
      this.acceptsRequests(upstream)
    );
  }

  /** Time until the first upstream of a service may be asked again, in milliseconds; undefined where one may be asked now, or
   * none is left.
   * @param service Name of the service. */
  getBackoffMs(service: string): number | undefined {
    const now = readClock();
    const times = (this.byService.get(service) ?? [])
      .filter((upstream) => this.isEligibleAfterBackoff(upstream, now))
      .map((upstream) => upstream.availability.getBackoffMs(now));
    const first = Math.min(...times);
    return Number.isFinite(first) && first > 0 ? first : undefined;
  }

  /** All upstreams of a service that are still there: those listed, those that leave, and those gone from the list so
   * lately that they still answer other upstreams.
   * @param service Name of the service. */
  getPresent(service: string): readonly Upstream[] {
    const now = readClock();
    for (const [upstream, goneAt] of this.recentlyUnlisted) {
      if (now - goneAt > UNLISTED_RETENTION_MS) {
        this.recentlyUnlisted.delete(upstream);
      }
    }
    const departed = [...this.recentlyUnlisted.keys()].filter((upstream) =>
      upstream.published.service === service
    );
    return [...this.byService.get(service) ?? [], ...departed];
  }

  /** Takes over changes.
   * @param changes The changes. */
  apply(changes: readonly UpstreamChange[]): void {
    for (const { id, upstream } of changes) {
      if (upstream === undefined) this.handleMissingEntry(id);
      else this.applyEntry(upstream);
    }
  }

  /** Takes an upstream out at once, for another has its address.
   * @param upstream The upstream. */
  drop(upstream: Upstream): void {
    if (this.byId.get(upstream.id) !== upstream) return;
    this.byId.delete(upstream.id);
    this.rebuildService(upstream.published.service);
    upstream.isRemoved = true;
    this.rememberAvailability(upstream);
    upstream.close();
    this.options.logger.info({ upstream: upstream.id }, "upstream_dropped");
    this.options.onDrop(upstream);
  }

  /** Closes all connections. */
  close(): void {
    for (const upstream of this.byId.values()) upstream.close();
  }

  /** Whether an upstream may get a new request at this moment. */
  private acceptsRequests(upstream: Upstream): boolean {
    const now = readClock();
    return this.isEligibleAfterBackoff(upstream, now) &&
      upstream.availability.takesRequests(now);
  }

  /** Whether an upstream may get a request once a backoff that it asked for is over. */
  private isEligibleAfterBackoff(upstream: Upstream, now: number): boolean {
    if (upstream.isLeaving) return false;
    if (now - upstream.crashedAt < CRASH_EXCLUSION_MS) return false;
    return upstream.lapseEndsAt === undefined || now < upstream.lapseEndsAt;
  }

  private applyEntry(published: PublishedUpstream): void {
    const known = this.byId.get(published.id);
    if (known) this.recentlyUnlisted.delete(known);
    if (known && isSameInstance(known, published)) {
      known.published = published;
      known.lapseEndsAt = undefined;
      return;
    }
    if (known) this.replace(known, published);
    const fresh = Upstream.create(
      published,
      this.takeRememberedAvailability(published),
    );
    fresh.availability.onChange = (change) =>
      this.handleAvailabilityChange(fresh, change);
    this.byId.set(fresh.id, fresh);
    this.rebuildService(published.service);
  }

  /** What a start that is listed again said before its entry was missing; undefined where that is nothing. */
  private takeRememberedAvailability(
    published: PublishedUpstream,
  ): Availability | undefined {
    const before = this.rememberedInstances.get(published.id);
    this.rememberedInstances.delete(published.id);
    return before && isSameInstance(before, published)
      ? before.availability
      : undefined;
  }

  /** Remembers a start that is taken out, as long as what it said may count. */
  private rememberAvailability(upstream: Upstream): void {
    if (upstream.availability.takesRequests(readClock())) return;
    this.rememberedInstances.delete(upstream.id);
    this.rememberedInstances.set(upstream.id, upstream);
    if (this.rememberedInstances.size <= MAX_REMEMBERED_INSTANCES) return;
    const [oldest] = this.rememberedInstances.keys();
    this.rememberedInstances.delete(oldest!);
  }

  /** Takes out an upstream whose id another has now, with all that is known of it. */
  private replace(known: Upstream, fresh: PublishedUpstream): void {
    const { startedAt } = fresh;
    if (known.published.startedAt !== startedAt) {
      this.options.logger.info(
        { upstream: known.id, startedAt },
        "upstream_started_again",
      );
      this.options.onRestart(known);
    }
    this.drop(known);
  }

  private handleAvailabilityChange(
    upstream: Upstream,
    change: AvailabilityChange,
  ): void {
    const backoffMs = upstream.availability.getBackoffMs(readClock());
    logAvailability(this.options.logger, upstream.id, change, backoffMs);
    this.options.onAvailability(change);
  }

  private handleMissingEntry(id: string): void {
    const known = this.byId.get(id);
    if (!known) return;
    const now = readClock();
    const longest = now + this.options.leaveWithinMs * LAPSE_GRACE_FRACTION;
    const usedUntil = Math.min(longest, this.options.getLapseEndsAt());
    if (usedUntil <= now) return this.removeUnlisted(known);
    known.lapseEndsAt = usedUntil;
    const timer = setTimeout(() => {
      if (known.lapseEndsAt === usedUntil) this.removeUnlisted(known);
    }, usedUntil - now);
    timer.unref();
  }

  /** Takes an upstream out that is gone from the list, and remembers it a little. */
  private removeUnlisted(upstream: Upstream): void {
    this.recentlyUnlisted.set(upstream, readClock());
    this.drop(upstream);
  }

  private rebuildService(service: string): void {
    const serving = [...this.byId.values()].filter((upstream) =>
      upstream.published.service === service
    );
    this.byService.set(service, serving);
  }
}

/** Whether two entries under one id are of the same start of the same upstream. */
function isSameInstance(known: Upstream, fresh: PublishedUpstream): boolean {
  const { address, service, startedAt } = fresh;
  return known.published.address === address &&
    known.published.service === service &&
    known.published.startedAt === startedAt;
}
