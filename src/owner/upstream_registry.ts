import { processTimeline, type Timeline } from "../clock/timeline.ts";
import type { AuditTrail } from "../audit/audit_trail.ts";
import { hashText } from "../hashing/hasher.ts";
import type { Logger } from "../logging/logger.ts";
import type { FleetView } from "../membership/fleet_view.ts";
import type { PlacementTable } from "../placement/placement_table.ts";
import { POLICIES } from "../placement/policies.ts";
import type { Host } from "../configuration_service/host_schema.ts";
import type { Settings } from "../settings/settings_schema.ts";
import { logAvailability } from "../upstreams/log_availability.ts";
import { REPORTS_LACK_MS } from "./foreign_load.ts";
import { HeardShare } from "./heard_share.ts";
import {
  chooseMean,
  computeCap,
  hasRoom,
  KEPT_PLACES,
  type LoadBoundStructure,
} from "./load_bound.ts";
import { type LoadBook, REMEMBERED_MS, UNREACHABLE_LOAD } from "./load_book.ts";
import { OwnedUpstream } from "./owned_upstream.ts";

/** Rank in an upstream's order of the router that takes requests of entries which do not reach the owner. */
const DEPUTY_RANK = 1;

/** What the registry needs of the rest of the router. */
export interface UpstreamRegistryOptions {
  settings: Settings;
  logger: Logger;
  audit: AuditTrail;
  loads: LoadBook;
  getView: () => FleetView;
  getPlacement: () => PlacementTable;
  /** Asks an upstream for its report. */
  requestReport: (upstream: OwnedUpstream) => void;
  /** The process's by default. */
  timeline?: Timeline;
}

/** The upstreams that a router owns or still has work on, with what bounds them. */
export class UpstreamRegistry {
  private readonly upstreams = new Map<string, OwnedUpstream>();
  private readonly share = HeardShare.create();
  /** Routers that have told their loads. */
  private readonly toldBy = new Set<string>();

  private readonly timeline: Timeline;

  private constructor(private readonly options: UpstreamRegistryOptions) {
    this.timeline = options.timeline ?? processTimeline;
  }

  /** Creates an empty registry.
   * @param options What it needs. */
  static create(options: UpstreamRegistryOptions): UpstreamRegistry {
    return new UpstreamRegistry(options);
  }

  /** All upstreams. */
  getAll(): OwnedUpstream[] {
    return [...this.upstreams.values()];
  }

  /** Returns an upstream with its present place on the list, or nothing where it is not listed.
   * @param id The upstream. */
  getUpstream(id: string): OwnedUpstream | undefined {
    const host = this.options.getView().getUpstream(id);
    const known = this.upstreams.get(id);
    if (known && host) known.host = host;
    const upstream = known ?? (host ? this.takeOver(host) : undefined);
    if (upstream) this.refreshOwnership(upstream);
    return upstream;
  }

  /** Loads of the upstreams this router owns: hash of the id, and the number. */
  getLoads(): [number, number][] {
    const owned = [...this.upstreams.values()].filter((upstream) =>
      upstream.isOwned
    );
    return owned.map((upstream) => [
      hashText(upstream.host.id),
      upstream.isReachable ? upstream.leastLoad : UNREACHABLE_LOAD,
    ]);
  }

  /** Records the loads of the upstreams that another router owns. Where this router owns one of them too, ownership has just
   * moved here, and the requests of the other are foreign.
   * @param routerId The other router.
   * @param loads Hash of an upstream's id, and its requests in flight. */
  takePeerLoads(routerId: string, loads: readonly [number, number][]): void {
    const now = this.timeline.read();
    this.toldBy.add(routerId);
    this.options.loads.record(loads, now);
    const byHash = new Map(loads);
    for (const upstream of this.upstreams.values()) {
      const told = byHash.get(hashText(upstream.host.id));
      if (told === undefined || !upstream.isOwned) continue;
      upstream.foreign.takeOver(told, now);
    }
  }

  /** Takes over the upstreams that this router came to own, and forgets those it has nothing to do with. */
  refresh(): void {
    for (const upstream of this.upstreams.values()) {
      const { host } = upstream;
      upstream.host = this.options.getView().getUpstream(host.id) ??
        { ...host, state: "leaving" };
      this.refreshOwnership(upstream);
      this.forgetUnused(upstream);
    }
    for (const host of this.options.getView().upstreams) {
      if (this.isOwner(host) && !this.upstreams.has(host.id)) {
        this.takeOver(host);
      }
    }
  }

  /** Returns the router that an offer is to go to in place of this one; undefined where it may stay.
   * @param upstream The upstream.
   * @param avoids Routers that did not answer the entry. */
  findOtherOwner(
    upstream: OwnedUpstream,
    avoids: readonly string[],
  ): string | undefined {
    const { id } = this.options.settings;
    const owners = this.options.getPlacement().getOwners(upstream.host);
    const [owner] = owners;
    if (owner === undefined || owner === id) return undefined;
    if (!avoids.includes(owner)) return owner;
    const deputy = owners[DEPUTY_RANK];
    return deputy === id ? undefined : deputy;
  }

  /** Notes that this process was paused; each upstream takes work again once it has reported. */
  notePause(): void {
    const now = this.timeline.read();
    for (const upstream of this.upstreams.values()) upstream.notePause(now);
    this.readReports();
  }

  /** Whether one more request may be started on an upstream.
   * @param upstream The upstream. */
  hasRoom(upstream: OwnedUpstream): boolean {
    if (upstream.isLoadUnknown) return false;
    if (!upstream.client.availability.hasRoom(this.timeline.read())) {
      return false;
    }
    if (!this.isOwner(upstream.host)) return hasPlaceOfOne(upstream);
    if (this.awaitsFormerOwner(upstream) && !hasPlaceOfOne(upstream)) {
      return false;
    }
    if (!this.isBounded) return upstream.load < upstream.host.slots;
    const load = { own: upstream.running.size, foreign: upstream.foreign.load };
    return hasRoom(this.getBound(upstream), load);
  }

  /** Requests an upstream may carry now.
   * @param upstream The upstream. */
  getCap(upstream: OwnedUpstream): number {
    return this.describeBound(upstream).cap;
  }

  /** What bounds an upstream now: the mean of its pool as it is known here, and the requests that it may carry.
   * @param upstream The upstream. */
  describeBound(upstream: OwnedUpstream): { mean: number; cap: number } {
    const bound = this.getBound(upstream);
    const cap = this.isBounded ? computeCap(bound) : upstream.host.slots;
    return { mean: bound.mean, cap };
  }

  /** Reads the reports of all upstreams. */
  readReports(): void {
    for (const upstream of this.upstreams.values()) {
      this.options.requestReport(upstream);
    }
  }

  /** Ends all connections to upstreams. */
  async close(): Promise<void> {
    for (const upstream of this.upstreams.values()) {
      await upstream.client.close();
    }
  }

  private get isBounded(): boolean {
    return POLICIES[this.options.settings.routing.policy].isBounded;
  }

  private getBound(upstream: OwnedUpstream): LoadBoundStructure {
    const { boundMultiple, minimumCap } = this.options.settings.routing;
    const now = this.timeline.read();
    this.options.loads.record(this.getLoads(), now);
    const pool = this.options.getPlacement().getPool(upstream.host);
    const means = this.options.loads.getMeans(pool, now);
    const mean = chooseMean(means, boundMultiple);
    const heardShare = this.share.get(this.options.getView().heardShare, now);
    return {
      boundMultiple,
      minimumCap,
      slots: upstream.host.slots,
      mean,
      heardShare,
    };
  }

  private forgetUnused(upstream: OwnedUpstream): void {
    const isUsed = upstream.running.size > 0 || upstream.queue.length > 0;
    const isListed =
      this.options.getView().getUpstream(upstream.host.id) !== undefined;
    const isKept = this.isOwner(upstream.host) || upstream.isLeftAlone;
    if (isUsed || (isListed && isKept)) return;
    this.upstreams.delete(upstream.host.id);
    void upstream.client.close();
  }

  private takeOver(host: Host): OwnedUpstream {
    const { queueLimit, stallTimeoutMs } = this.options.settings.routing;
    const upstream = OwnedUpstream.create(host, {
      queueLimit,
      stallTimeoutMs,
      timeline: this.timeline,
    });
    upstream.client.onAvailability = (change) =>
      logAvailability(
        this.options.logger,
        host.id,
        change,
        upstream.backoffMs,
      );
    this.upstreams.set(host.id, upstream);
    const who = this.options.settings.id;
    this.options.audit.add({
      action: "upstream_taken_over",
      who,
      what: host.id,
      revision: this.options.getView().version,
      why: "first in its rendezvous order among the routers heard",
    });
    this.refreshOwnership(upstream);
    this.options.requestReport(upstream);
    return upstream;
  }

  /** Takes what the former owner last told as foreign, until the upstream itself reports.
   * A router that is not the owner, for it sees the fleet otherwise than the entry, does the same all the time. */
  private refreshOwnership(upstream: OwnedUpstream): void {
    const wasOwned = upstream.isOwned;
    upstream.isOwned = this.isOwner(upstream.host);
    if (wasOwned) return;
    const now = this.timeline.read();
    if (upstream.isOwned) upstream.ownedSince = now;
    const told = this.options.loads.getLoad(
      upstream.host.id,
      now,
      REMEMBERED_MS,
    );
    if (told !== undefined) upstream.foreign.takeOver(told, now);
  }

  /** Whether the router that owned an upstream before this one joined may have requests there that are not counted here. It is
   * the next in order; its requests are counted once it has told its loads, or once they show in reports. */
  private awaitsFormerOwner({ host, ownedSince }: OwnedUpstream): boolean {
    if (this.timeline.read() - ownedSince >= REPORTS_LACK_MS) return false;
    const former = this.options.getPlacement().getOwners(host)[DEPUTY_RANK];
    return former !== undefined && !this.toldBy.has(former);
  }

  private isOwner(host: Host): boolean {
    return this.options.getPlacement().getOwners(host)[0] ===
      this.options.settings.id;
  }
}

/** Whether a router may start a request on an upstream beside another that takes itself for the owner: one at a time, which
 * the bound of the other leaves room for, since neither of the two learns in time what the other starts. */
function hasPlaceOfOne({ running }: OwnedUpstream): boolean {
  return running.size < KEPT_PLACES;
}
