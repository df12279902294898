import { setTimeout as delay } from "node:timers/promises";
import { confirmRefusal } from "../crashes/confirm_refusal.ts";
import {
  checkConnection,
  type CheckResult,
} from "../crashes/connection_check.ts";
import type { UpstreamInstance } from "../crashes/crash_detector.ts";
import { CrashGossip } from "../crashes/crash_gossip.ts";
import { CrashGuard } from "../crashes/crash_guard.ts";
import type { CrashNews } from "../crashes/crash_news.ts";
import type { RequestHold } from "../crashes/request_hold.ts";
import { hashText } from "../hashing/hasher.ts";
import { rankByRendezvous } from "../hashing/rendezvous.ts";
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
  /** Called when requests are held from now on, or for longer. */
  onHeld: (hold: RequestHold) => void;
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
      onPendingNews: () => this.gossip.scheduleBatch(),
      onHeld: options.onHeld,
      onCrash: () => metrics.count("upstream_crashes"),
      onCrashReported: () => undefined,
      isTrialHost: (part) => this.isTrialRouter(part),
      check: (upstream) => this.checkCrash(upstream),
    });
    this.gossip = CrashGossip.create({
      news: this.guard.news,
      getHosts: () => this.getReachablePeerIds(),
      send: (routerId, news) => void this.send(routerId, news),
    });
  }

  /** Creates a tracker without reports. */
  static create(options: RouterCrashTrackerOptions): RouterCrashTracker {
    return new RouterCrashTracker(options);
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

  /** Checks whether an upstream has crashed. That its connections are refused counts only while this router has paths
   * to other upstreams. */
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

  /** Whether this router is the first of the reachable ones in the rendezvous order of a part. */
  private isTrialRouter(part: number): boolean {
    const ids = [this.options.getView().ownId, ...this.getReachablePeerIds()];
    return rankByRendezvous(String(part), ids)[0] === ids[0];
  }

  private getReachablePeerIds(): string[] {
    const view = this.options.getView();
    return view.routers.filter(({ host, heard }) =>
      heard && host.id !== view.ownId
    ).map(({ host }) => host.id);
  }

  private async send(
    routerId: string,
    { reports, completions, heldParts }: CrashNews,
  ): Promise<void> {
    const client = await this.options.connectionPool.getClient(routerId);
    client?.send({
      type: "crash_words",
      exchange: 0,
      words: [...reports],
      completions: [...completions],
      heldParts: heldParts.map((parts) => [...parts]),
    });
  }
}
