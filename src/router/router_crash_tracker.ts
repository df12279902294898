import { setTimeout as delay } from "node:timers/promises";
import { readClock } from "../clock/clock.ts";
import { confirmRefusal } from "../crashes/confirm_refusal.ts";
import {
  checkConnection,
  type CheckResult,
} from "../crashes/connection_check.ts";
import type { UpstreamInstance } from "../crashes/crash_detector.ts";
import { CrashGossip } from "../crashes/crash_gossip.ts";
import { CrashGuard } from "../crashes/crash_guard.ts";
import type { CrashReport } from "../crashes/crash_report.ts";
import { hashText } from "../hashing/hasher.ts";
import { formatFingerprint } from "../hashing/request_fingerprint.ts";
import type { Logger } from "../logging/logger.ts";
import type { FleetView } from "../membership/fleet_view.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { Random } from "../random/random.ts";
import type { PeerConnectionPool } from "../peer/peer_connection_pool.ts";

/** Dependencies of a `RouterCrashTracker`. */
export interface RouterCrashTrackerOptions {
  logger: Logger;
  metrics: Metrics;
  connectionPool: PeerConnectionPool;
  getView: () => FleetView;
}

/** Tracks requests that crash upstreams, and gossips reports of them to the other routers over the peer connections. */
export class RouterCrashTracker {
  /** Refuses requests that are likely to crash further upstreams. */
  readonly guard: CrashGuard;
  private readonly gossip: CrashGossip;
  private readonly random = Random.create();

  private constructor(private readonly options: RouterCrashTrackerOptions) {
    const { logger, metrics } = options;
    this.guard = CrashGuard.create({
      logger,
      formatFingerprint,
      onPendingReports: () => this.gossip.scheduleBatch(),
      onHeld: () => undefined,
      onCrash: () => metrics.count("upstream_crashes"),
      onCrashReported: () => undefined,
      check: (upstream) => this.checkCrash(upstream),
    });
    this.gossip = CrashGossip.create({
      store: this.guard.store,
      getHosts: () => this.getReachablePeerIds(),
      send: (routerId, reports) => void this.send(routerId, reports),
    });
  }

  /** Creates a tracker without reports. */
  static create(options: RouterCrashTrackerOptions): RouterCrashTracker {
    return new RouterCrashTracker(options);
  }

  /** Merges the crash reports that another router sent. */
  mergeReports(reports: readonly CrashReport[]): void {
    this.guard.store.mergeReports(reports, readClock());
  }

  /** Handles a new view of the fleet: upstreams that are no longer listed count as ended. */
  handleViewChange(previous: FleetView, current: FleetView): void {
    for (const { id } of previous.upstreams) {
      if (!current.getUpstream(id)) this.guard.recordRemoval(hashText(id));
    }
  }

  /** Stops the gossip and the pending crash checks. */
  close(): void {
    this.gossip.close();
    this.guard.close();
  }

  /** Checks whether an upstream has crashed. That its connections are refused counts only while this router has paths to
   * other upstreams. */
  private async checkCrash(
    { id, address }: UpstreamInstance,
  ): Promise<CheckResult> {
    const others = this.options.getView().upstreams.filter((other) =>
      other.id !== id
    );
    return await confirmRefusal({
      check: () => checkConnection(address),
      others: this.random.shuffle(others),
      checkOther: (other) => checkConnection(`${other.address}:${other.port}`),
      wait: delay,
    });
  }

  private getReachablePeerIds(): string[] {
    const view = this.options.getView();
    return view.routers.filter(({ host, heard }) =>
      heard && host.id !== view.ownId
    ).map(({ host }) => host.id);
  }

  private async send(
    routerId: string,
    reports: readonly CrashReport[],
  ): Promise<void> {
    const client = await this.options.connectionPool.getClient(routerId);
    client?.send({ type: "crash_words", exchange: 0, words: [...reports] });
  }
}
