import { readClock } from "../clock/clock.ts";
import { CrashGossip } from "../crashes/crash_gossip.ts";
import { CrashGuard } from "../crashes/crash_guard.ts";
import type { CrashWord } from "../crashes/crash_word.ts";
import { hashText } from "../hashing/hasher.ts";
import { describeFingerprint } from "../hashing/request_fingerprint.ts";
import type { Logger } from "../logging/logger.ts";
import type { FleetView } from "../membership/fleet_view.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { PeerDirectory } from "../peer/peer_directory.ts";

/** What it needs of the rest of the router. */
export interface RouterCrashesOptions {
  logger: Logger;
  metrics: Metrics;
  directory: PeerDirectory;
  getView: () => FleetView;
}

/** What a router remembers of requests that crash upstreams, and tells other routers over its connections to them. */
export class RouterCrashes {
  /** Keeps such requests from more upstreams. */
  readonly guard: CrashGuard;
  private readonly gossip: CrashGossip;

  private constructor(private readonly options: RouterCrashesOptions) {
    const { logger, metrics } = options;
    this.guard = CrashGuard.create({
      logger,
      describe: describeFingerprint,
      onNews: () => this.gossip.announce(),
      onHeld: () => undefined,
      onCrash: () => metrics.count("upstream_crashes"),
      onRumour: () => undefined,
    });
    this.gossip = CrashGossip.create({
      memory: this.guard.memory,
      getHosts: () => this.getHeardRouters(),
      send: (routerId, words) => void this.send(routerId, words),
    });
  }

  /** Creates what remembers nothing.
   * @param options What it needs. */
  static create(options: RouterCrashesOptions): RouterCrashes {
    return new RouterCrashes(options);
  }

  /** Takes over what another router tells.
   * @param words What it tells. */
  learn(words: readonly CrashWord[]): void {
    this.guard.memory.learn(words, readClock());
  }

  /** Takes a new view: upstreams that are gone from the list have ended.
   * @param before The view until now.
   * @param after The view from now on. */
  takeView(before: FleetView, after: FleetView): void {
    for (const { id } of before.upstreams) {
      if (!after.getUpstream(id)) this.guard.noteGone(hashText(id));
    }
  }

  /** Stops telling. */
  close(): void {
    this.gossip.close();
    this.guard.close();
  }

  private getHeardRouters(): string[] {
    const view = this.options.getView();
    return view.routers.filter(({ host, heard }) =>
      heard && host.id !== view.ownId
    ).map(({ host }) => host.id);
  }

  private async send(
    routerId: string,
    words: readonly CrashWord[],
  ): Promise<void> {
    const client = await this.options.directory.getClient(routerId);
    client?.send({ type: "crash_words", exchange: 0, words: [...words] });
  }
}
