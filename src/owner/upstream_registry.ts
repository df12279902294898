import { processTimeline, type Timeline } from "../clock/timeline.ts";
import type { AuditTrail } from "../audit/audit_trail.ts";
import { hashText } from "../hashing/hasher.ts";
import type { Logger } from "../logging/logger.ts";
import type { FleetView } from "../membership/fleet_view.ts";
import type { PlacementTable } from "../placement/placement_table.ts";
import { POLICIES } from "../placement/policies.ts";
import type { Host } from "../configuration_service/host_schema.ts";
import type { Settings } from "../settings/settings_schema.ts";
import { logAvailabilityChange } from "../upstreams/log_availability_change.ts";
import { REPORT_CATCH_UP_MS } from "./foreign_load_estimator.ts";
import { ReachableFraction } from "./reachable_fraction.ts";
import {
  chooseMean,
  computeCap,
  hasRoom,
  type LoadBoundInputs,
  RESERVED_SLOTS,
} from "./load_bound.ts";
import {
  type LoadTable,
  MAX_FORMER_OWNER_LOAD_AGE_MS,
  UNREACHABLE_LOAD,
} from "./load_table.ts";
import { OwnedUpstream } from "./owned_upstream.ts";
import type { Pauses } from "../upstreams/check_upstream_runs.ts";

/** Index, in the ordered owners of an upstream, of the backup owner. It accepts requests of entry routers that cannot
 * reach the owner. */
const BACKUP_OWNER_RANK = 1;

/** Dependencies of the registry. */
export interface UpstreamRegistryOptions {
  settings: Settings;
  logger: Logger;
  audit: AuditTrail;
  loads: LoadTable;
  getView: () => FleetView;
  getPlacement: () => PlacementTable;
  /** Requests a report from an upstream. */
  requestReport: (upstream: OwnedUpstream) => void;
  /** Detects pauses of this process. */
  pauseDetector?: Pauses;
  /** Defaults to the timeline of the process. */
  timeline?: Timeline;
}

/** The upstreams that a router owns or still has work on, and their load bounds. */
export class UpstreamRegistry {
  private readonly upstreams = new Map<string, OwnedUpstream>();
  /** The reachable fraction that the load bounds use. */
  private readonly share = ReachableFraction.create();
  /** Routers that have advertised their loads. */
  private readonly advertisers = new Set<string>();

  private readonly timeline: Timeline;

  private constructor(private readonly options: UpstreamRegistryOptions) {
    this.timeline = options.timeline ?? processTimeline;
  }

  /** Creates an empty registry.
   * @param options Dependencies. */
  static create(options: UpstreamRegistryOptions): UpstreamRegistry {
    return new UpstreamRegistry(options);
  }

  /** Returns all upstreams of the registry. */
  getAll(): OwnedUpstream[] {
    return [...this.upstreams.values()];
  }

  /** Returns an upstream, refreshed from the host list and added if needed, or undefined if it is neither known nor
   * listed.
   * @param id Id of the upstream. */
  getUpstream(id: string): OwnedUpstream | undefined {
    const host = this.options.getView().getUpstream(id);
    const known = this.upstreams.get(id);
    if (known && host) known.host = host;
    const upstream = known ?? (host ? this.takeOver(host) : undefined);
    if (upstream) this.refreshOwnership(upstream);
    return upstream;
  }

  /** Returns the loads of the upstreams that this router owns, as pairs of the hash of the id and the load. */
  getLoads(): [number, number][] {
    const owned = [...this.upstreams.values()].filter((upstream) =>
      upstream.isOwned
    );
    return owned.map((upstream) => [
      hashText(upstream.host.id),
      upstream.isReachable ? upstream.minimumLoad : UNREACHABLE_LOAD,
    ]);
  }

  /** Records the loads that another router advertises for the upstreams that it owns. If this router owns one of them
   * too, ownership has just moved here, and the requests of the other router count as foreign load.
   * @param routerId The other router.
   * @param loads Pairs of the hash of an upstream's id and its requests in flight. */
  recordPeerLoads(routerId: string, loads: readonly [number, number][]): void {
    const now = this.timeline.read();
    this.advertisers.add(routerId);
    this.options.loads.record(loads, now);
    const byHash = new Map(loads);
    for (const upstream of this.upstreams.values()) {
      const advertised = byHash.get(hashText(upstream.host.id));
      if (advertised === undefined || !upstream.isOwned) continue;
      upstream.foreign.beginTakeover(advertised, now);
    }
  }

  /** Adds upstreams that this router has become the owner of, and removes unused ones that it does not own. An upstream
   * that asked for no requests is kept while it is listed, so that this is not forgotten. */
  refresh(): void {
    for (const upstream of this.upstreams.values()) {
      const { host } = upstream;
      upstream.host = this.options.getView().getUpstream(host.id) ??
        { ...host, state: "leaving" };
      this.refreshOwnership(upstream);
      this.removeIfUnused(upstream);
    }
    for (const host of this.options.getView().upstreams) {
      if (this.isOwner(host) && !this.upstreams.has(host.id)) {
        this.takeOver(host);
      }
    }
  }

  /** Returns the router to which an offer must be redirected, or undefined if this router may handle it.
   * @param upstream The upstream.
   * @param avoids Routers that did not respond to the entry router. */
  findOtherOwner(
    upstream: OwnedUpstream,
    avoids: readonly string[],
  ): string | undefined {
    const { id } = this.options.settings;
    const owners = this.options.getPlacement().getOwners(upstream.host);
    const [owner] = owners;
    if (owner === undefined || owner === id) return undefined;
    if (!avoids.includes(owner)) return owner;
    const backupOwner = owners[BACKUP_OWNER_RANK];
    return backupOwner === id ? undefined : backupOwner;
  }

  /** Handles a pause of this process: no upstream gets new requests until it has reported again. */
  handlePause(): void {
    const now = this.timeline.read();
    for (const upstream of this.upstreams.values()) upstream.handlePause(now);
    this.requestReports();
  }

  /** Returns whether one more request may be started on an upstream.
   * @param upstream The upstream. */
  hasRoom(upstream: OwnedUpstream): boolean {
    if (upstream.isLoadUnknown) return false;
    if (!upstream.client.availability.hasCapacity(this.timeline.read())) {
      return false;
    }
    if (!this.isOwner(upstream.host)) return hasReservedSlot(upstream);
    if (this.isAwaitingFormerOwner(upstream) && !hasReservedSlot(upstream)) {
      return false;
    }
    if (!this.isBounded) return upstream.load < upstream.host.slots;
    const load = { own: upstream.running.size, foreign: upstream.foreign.load };
    return hasRoom(this.getBoundInputs(upstream), load);
  }

  /** Returns the maximum number of requests that an upstream may have in flight now.
   * @param upstream The upstream. */
  getCap(upstream: OwnedUpstream): number {
    return this.describeBound(upstream).cap;
  }

  /** Returns the mean load of an upstream's pool, as known to this router, and the cap computed from it.
   * @param upstream The upstream. */
  describeBound(upstream: OwnedUpstream): { mean: number; cap: number } {
    const bound = this.getBoundInputs(upstream);
    const cap = this.isBounded ? computeCap(bound) : upstream.host.slots;
    return { mean: bound.mean, cap };
  }

  /** Requests the reports of all upstreams. */
  requestReports(): void {
    for (const upstream of this.upstreams.values()) {
      this.options.requestReport(upstream);
    }
  }

  /** Closes all connections to upstreams. */
  async close(): Promise<void> {
    for (const upstream of this.upstreams.values()) {
      await upstream.client.close();
    }
  }

  private get isBounded(): boolean {
    return POLICIES[this.options.settings.routing.policy].isBounded;
  }

  private getBoundInputs(upstream: OwnedUpstream): LoadBoundInputs {
    const { boundMultiple, minimumCap } = this.options.settings.routing;
    const now = this.timeline.read();
    this.options.loads.record(this.getLoads(), now);
    const pool = this.options.getPlacement().getPoolMembers(upstream.host);
    const means = this.options.loads.getMeans(pool, now);
    const mean = chooseMean(means, boundMultiple);
    const reachableFraction = this.share.update(
      this.options.getView().reachableFraction,
      now,
    );
    return {
      boundMultiple,
      minimumCap,
      slots: upstream.host.slots,
      mean,
      reachableFraction,
    };
  }

  private removeIfUnused(upstream: OwnedUpstream): void {
    const isUsed = upstream.running.size > 0 || upstream.queue.length > 0;
    const isListed =
      this.options.getView().getUpstream(upstream.host.id) !== undefined;
    const isKept = this.isOwner(upstream.host) || upstream.declinesRequests;
    if (isUsed || (isListed && isKept)) return;
    this.upstreams.delete(upstream.host.id);
    void upstream.client.close();
  }

  private takeOver(host: Host): OwnedUpstream {
    const { queueLimit, stallTimeoutMs } = this.options.settings.routing;
    const upstream = OwnedUpstream.create(host, {
      queueLimit,
      stallTimeoutMs,
      pauses: this.options.pauseDetector,
      timeline: this.timeline,
    });
    upstream.client.onAvailabilityChange = (change) =>
      logAvailabilityChange(
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

  /** Refreshes whether this router owns an upstream. If it did not own the upstream before, the last advertised load
   * counts as foreign until reports of the upstream include it. For a router that is not the owner but gets offers,
   * because the entry router sees the fleet differently, this is repeated at every refresh. */
  private refreshOwnership(upstream: OwnedUpstream): void {
    const wasOwned = upstream.isOwned;
    upstream.isOwned = this.isOwner(upstream.host);
    if (wasOwned) return;
    const now = this.timeline.read();
    if (upstream.isOwned) upstream.ownedSince = now;
    const load = this.options.loads.getLoad(
      upstream.host.id,
      now,
      MAX_FORMER_OWNER_LOAD_AGE_MS,
    );
    if (load !== undefined) upstream.foreign.beginTakeover(load, now);
  }

  /** Returns whether the router that owned an upstream before this one joined may have requests there that are not
   * counted yet. The former owner is the next in the order of owners; its requests are counted once it has advertised
   * its loads or once reports include them. */
  private isAwaitingFormerOwner({ host, ownedSince }: OwnedUpstream): boolean {
    if (this.timeline.read() - ownedSince >= REPORT_CATCH_UP_MS) return false;
    const formerOwner =
      this.options.getPlacement().getOwners(host)[BACKUP_OWNER_RANK];
    return formerOwner !== undefined && !this.advertisers.has(formerOwner);
  }

  private isOwner(host: Host): boolean {
    return this.options.getPlacement().getOwners(host)[0] ===
      this.options.settings.id;
  }
}

/** Returns whether this router may start a request on an upstream while another router may consider itself the owner.
 * Neither learns in time what the other starts, so only the slots that the other's load bound reserves may be used: one
 * request at a time. */
function hasReservedSlot({ running }: OwnedUpstream): boolean {
  return running.size < RESERVED_SLOTS;
}
