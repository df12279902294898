import { readClock } from "../clock/clock.ts";
import type { Logger } from "../logging/logger.ts";
import type { UpstreamChange } from "../published/publication_feed.ts";
import type { PublishedUpstream } from "../published/upstream_schema.ts";
import type { StreamOrigin } from "../streams/stream_record.ts";
import { isOfOrigin } from "./is_of_origin.ts";
import type { AvailabilityChange } from "./availability.ts";
import { isSameInstance } from "../published/is_same_instance.ts";
import { logAvailabilityChange } from "./log_availability_change.ts";
import { requiresStartTime } from "./requires_start_time.ts";
import { RememberedInstances } from "./remembered_instances.ts";
import { UnlistedUpstreams } from "./unlisted_upstreams.ts";
import { Upstream } from "./upstream.ts";
import type { UpstreamNetwork } from "./upstream_network.ts";
import { VersionHistory } from "./version_history.ts";

/** Maximum time for which an upstream stays in use after its entry disappeared just after an outage of the platform, as
 * a fraction of the leave timeout. Entries that lapsed during the outage come back within two seconds. */
const LAPSE_GRACE_FRACTION = 0.8;
/** Time after the announcement that an upstream leaves in which it still gets requests that only it can serve, as a
 * fraction of the leave timeout; the rest covers the time that a request takes to reach it. */
const LEAVE_GRACE_FRACTION = 0.75;
/** Time for which a crashed upstream gets no requests, in milliseconds; about as long as its entry remains listed and a
 * restart takes. */
const CRASH_EXCLUSION_MS = 3_000;

/** Options of an upstream table. */
export interface UpstreamTableOptions {
  logger: Logger;
  /** Returns the monotonic milliseconds until which a missing entry may only have lapsed during an outage of the
   * platform; in the past if there was no recent outage. */
  getLapseEndsAt: () => number;
  /** Time after which a leaving upstream must get no new requests, in milliseconds. */
  leaveTimeoutMs: number;
  /** Returns the monotonic milliseconds up to which all published changes were known before those that are applied. */
  getCompleteUntil: () => number;
  /** Called before an upstream is removed because it restarted under the same id, with the Unix milliseconds of the start
   * if it is published; the requests in flight on the earlier instance are lost. */
  onRestart: (before: Upstream, startedAt: number | undefined) => void;
  /** Called when the availability of an upstream has changed. */
  onAvailabilityChange: (change: AvailabilityChange) => void;
  /** Called for each removed upstream. */
  onRemove: (upstream: Upstream) => void;
  /** Establishes connections to upstreams; defaults to connections without other hosts. */
  network?: UpstreamNetwork;
}

/** Table of the known upstreams by service. */
export class UpstreamTable {
  /** Software versions that have served lately. */
  readonly versions: VersionHistory;
  private readonly byId = new Map<string, Upstream>();
  private readonly byInstanceHash = new Map<number, Upstream>();
  private readonly byService = new Map<string, Upstream[]>();
  private readonly unlisted = UnlistedUpstreams.create();
  private readonly rememberedInstances = RememberedInstances.create();
  private startTimeIsRequired = false;
  private evacuatedHalls: ReadonlySet<string> = new Set();

  private constructor(private readonly options: UpstreamTableOptions) {
    this.versions = VersionHistory.create({
      getPresent: (service) => this.getPresent(service),
      readNow: readClock,
    });
  }

  /** Creates an empty table.
   * @param options Options of the table. */
  static create(options: UpstreamTableOptions): UpstreamTable {
    return new UpstreamTable(options);
  }

  /** Returns all upstreams. */
  getAll(): Upstream[] {
    return [...this.byService.values()].flat();
  }

  /** Returns the upstream with an instance hash, if there is one.
   * @param instanceHash Hash of the upstream instance. */
  findByInstanceHash(instanceHash: number): Upstream | undefined {
    return this.byInstanceHash.get(instanceHash);
  }

  /** Returns the upstreams of a service that may get new requests.
   * @param service Name of the service. */
  getServing(service: string): Upstream[] {
    return this.getEligible(service).filter((upstream) =>
      upstream.acceptsRequests(readClock())
    );
  }

  /** Returns the upstreams of a service that may get new requests now or once their requested backoff, if any, has ended.
   * @param service Name of the service. */
  getEligible(service: string): Upstream[] {
    const now = readClock();
    return (this.byService.get(service) ?? []).filter((upstream) =>
      this.isEligibleAfterBackoff(upstream, now)
    );
  }

  /** Returns the time until the first upstream of a service accepts requests again, in milliseconds; undefined if one
   * accepts requests now, or none is left.
   * @param service Name of the service.
   * @param origin Where the upstreams must be able to continue a stream of. */
  getBackoffMs(service: string, origin?: StreamOrigin): number | undefined {
    const now = readClock();
    const backoffsMs = this.getEligible(service)
      .filter((upstream) => isOfOrigin(upstream, origin))
      .map((upstream) => upstream.availability.getBackoffMs(now));
    const minBackoffMs = Math.min(...backoffsMs);
    return Number.isFinite(minBackoffMs) && minBackoffMs > 0
      ? minBackoffMs
      : undefined;
  }

  /** Returns the backoffs that upstreams have asked for: hash of the instance and remaining milliseconds. */
  getBackoffs(): [instanceHash: number, remainingMs: number][] {
    const now = readClock();
    return [...this.byId.values()].map((
      { instanceHash, availability },
    ): [number, number] => [instanceHash, availability.getBackoffMs(now)])
      .filter(([, remainingMs]) => remainingMs > 0);
  }

  /** Applies backoffs that upstreams have asked other hosts for.
   * @param backoffs Hash of the instance and remaining milliseconds. */
  adoptBackoffs(
    backoffs: readonly (readonly [instanceHash: number, backoffMs: number])[],
  ): void {
    for (const [instanceHash, backoffMs] of backoffs) {
      this.findByInstanceHash(instanceHash)?.availability.recordNotice(
        { backoffMs, isLeaving: false },
        readClock(),
      );
    }
  }

  /** Whether an upstream could continue a stream now or after a backoff.
   * @param origin Where the stream began. */
  canContinue(origin: StreamOrigin): boolean {
    return this.getEligible(origin.service).some((upstream) =>
      isOfOrigin(upstream, origin)
    ) || this.getLeaving(origin).length > 0;
  }

  /** Returns the leaving upstreams that may still get a request to continue a stream, which other upstreams of the
   * service can't serve.
   * @param origin Where the stream began. */
  getLeaving(origin: StreamOrigin): Upstream[] {
    const now = readClock();
    return (this.byService.get(origin.service) ?? []).filter((upstream) =>
      isOfOrigin(upstream, origin) && upstream.published.isLeaving &&
      this.isInLeaveGrace(upstream) && upstream.acceptsRequests(now)
    );
  }

  /** Whether a request may still be sent to an upstream that was chosen for it.
   * @param upstream The upstream.
   * @param continuesStream Whether the request continues a stream that only this upstream may be able to serve. */
  maySendTo(upstream: Upstream, continuesStream: boolean): boolean {
    const now = readClock();
    const { lapseEndsAt = Infinity, isRemoved, isLeaving } = upstream;
    if (isRemoved || now >= lapseEndsAt) return false;
    if (!upstream.acceptsRequests(now)) return false;
    return !isLeaving || (continuesStream && this.isInLeaveGrace(upstream));
  }

  /** Returns all upstreams of a service that are still present: those listed, including leaving ones, and those whose
   * entry disappeared so recently that they still answer other upstreams.
   * @param service Name of the service. */
  getPresent(service: string): readonly Upstream[] {
    const unlisted = this.unlisted.getPresent(service, readClock());
    return [...this.byService.get(service) ?? [], ...unlisted];
  }

  /** Applies changes of the published list.
   * @param changes The changes. */
  apply(changes: readonly UpstreamChange[]): void {
    for (const { id, upstream } of changes) {
      if (upstream === undefined) this.handleMissingEntry(id);
      else this.applyEntry(upstream);
    }
  }

  /** Sets the halls whose upstreams get no new requests; replaces those set before.
   * @param halls The halls. */
  setEvacuatedHalls(halls: readonly string[]): void {
    this.evacuatedHalls = new Set(halls);
    for (const upstream of this.byId.values()) this.updateEvacuation(upstream);
  }

  /** Removes an upstream immediately, for example because another one has its address.
   * @param upstream The upstream. */
  remove(upstream: Upstream): void {
    if (this.byId.get(upstream.id) !== upstream) return;
    this.byId.delete(upstream.id);
    this.byInstanceHash.delete(upstream.instanceHash);
    this.rebuildServices();
    upstream.isRemoved = true;
    this.versions.recordDeparture(upstream);
    this.rememberedInstances.remember(upstream);
    upstream.close();
    this.options.logger.info({ upstream: upstream.id }, "upstream_dropped");
    this.options.onRemove(upstream);
  }

  /** Closes the idle connections of all upstreams. */
  close(): void {
    for (const upstream of this.byId.values()) upstream.close();
  }

  private isInLeaveGrace({ leavingSince }: Upstream): boolean {
    const graceMs = this.options.leaveTimeoutMs * LEAVE_GRACE_FRACTION;
    return readClock() < leavingSince + graceMs;
  }

  /** Returns whether an upstream may get new requests once its requested backoff, if any, has ended. */
  private isEligibleAfterBackoff(upstream: Upstream, now: number): boolean {
    if (upstream.isLeaving || upstream.isEvacuated) return false;
    if (now - upstream.crashedAt < CRASH_EXCLUSION_MS) return false;
    return upstream.lapseEndsAt === undefined || now < upstream.lapseEndsAt;
  }

  private applyEntry(published: PublishedUpstream): void {
    const known = this.byId.get(published.id);
    if (known) this.unlisted.delete(known);
    if (known && isSameInstance(known.published, published)) {
      if (published.isLeaving && !known.published.isLeaving) {
        known.leavingSince = this.options.getCompleteUntil();
      }
      known.published = published;
      known.recordWarmUp(published.warmUpMs ?? 0, readClock());
      known.lapseEndsAt = undefined;
      return;
    }
    if (known) this.replace(known, published);
    const current = Upstream.create(
      published,
      this.rememberedInstances.takeAvailability(published),
      this.options.network,
    );
    current.availability.onChange = (change) =>
      this.handleAvailabilityChange(current, change);
    this.updateEvacuation(current);
    current.recordWarmUp(published.warmUpMs ?? 0, readClock());
    this.byId.set(current.id, current);
    this.byInstanceHash.set(current.instanceHash, current);
    this.rebuildServices();
  }

  /** Removes an upstream whose id now belongs to another instance, with its state. */
  private replace(known: Upstream, current: PublishedUpstream): void {
    const { startedAt, softwareVersion } = current;
    const isRestarted = known.published.startedAt !== startedAt ||
      known.published.softwareVersion !== softwareVersion;
    if (isRestarted) {
      this.options.logger.info(
        { upstream: known.id, startedAt, softwareVersion },
        "upstream_started_again",
      );
      this.options.onRestart(known, startedAt);
    }
    this.remove(known);
  }

  private handleAvailabilityChange(
    upstream: Upstream,
    change: AvailabilityChange,
  ): void {
    const backoffMs = upstream.availability.getBackoffMs(readClock());
    logAvailabilityChange(this.options.logger, upstream.id, change, backoffMs);
    this.options.onAvailabilityChange(change);
  }

  private handleMissingEntry(id: string): void {
    const known = this.byId.get(id);
    if (!known) return;
    const now = readClock();
    const maxLapseEndsAt = now +
      this.options.leaveTimeoutMs * LAPSE_GRACE_FRACTION;
    const lapseEndsAt = Math.min(maxLapseEndsAt, this.options.getLapseEndsAt());
    if (lapseEndsAt <= now) return this.removeUnlisted(known);
    known.lapseEndsAt = lapseEndsAt;
    const timer = setTimeout(() => {
      if (known.lapseEndsAt === lapseEndsAt) this.removeUnlisted(known);
    }, lapseEndsAt - now);
    timer.unref();
  }

  /** Removes an upstream that is no longer listed; it still counts as present for a short time. */
  private removeUnlisted(upstream: Upstream): void {
    this.unlisted.add(upstream, readClock());
    this.remove(upstream);
  }

  private updateEvacuation(upstream: Upstream): void {
    upstream.isEvacuated = this.evacuatedHalls.has(upstream.published.hall);
  }

  /** Groups the upstreams by service, without the entries that are no upstreams. */
  private rebuildServices(): void {
    const listed = [...this.byId.values()];
    const isRequired = requiresStartTime(listed);
    if (isRequired !== this.startTimeIsRequired) {
      this.logRequirement(isRequired);
    }
    this.byService.clear();
    for (const upstream of listed) {
      const { service, startedAt } = upstream.published;
      if (isRequired && startedAt === undefined) continue;
      const others = this.byService.get(service);
      if (others) others.push(upstream);
      else this.byService.set(service, [upstream]);
    }
  }

  private logRequirement(isRequired: boolean): void {
    this.startTimeIsRequired = isRequired;
    this.options.logger.info(
      { isRequired, upstreams: this.byId.size },
      "start_time_requirement_changed",
    );
  }
}
