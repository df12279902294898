import type { ConfigurationReplica } from "../configuration/configuration_replica.ts";
import { rankByRendezvous } from "../hashing/rendezvous.ts";
import type { Logger } from "../logging/logger.ts";
import type { Membership } from "../membership/membership.ts";
import { PlatformClient } from "../configuration_service/platform_client.ts";
import { PollLoop, type PollOutcome } from "../polling/poll_loop.ts";
import type { Settings } from "../settings/settings_schema.ts";

/** Interval at which the set of routers of a hall that watch the platform changes. */
const ROTATION_INTERVAL_MS = 60_000;

/** Dependencies of a `PlatformWatcher`. */
export interface PlatformWatcherOptions {
  settings: Settings;
  logger: Logger;
  membership: Membership;
  configuration: ConfigurationReplica;
}

/** Long-polls the platform for configuration documents and the host list. In each hall only some routers do so at a
 * time; the others receive the changes from their peers. */
export class PlatformWatcher {
  private readonly client: PlatformClient;
  private readonly loops: PollLoop[];
  private revision = 0;
  private version = 0;
  private hasReadDocuments = false;
  private hasReadHosts = false;
  private readonly failedSources = new Set<string>();

  private constructor(private readonly options: PlatformWatcherOptions) {
    const { url, watchMs, retryMs } = options.settings.platform;
    this.client = PlatformClient.create(url);
    const commonOptions = {
      isActive: () => this.isWatcher(),
      getDelayMs: () => retryMs,
    };
    this.loops = [
      PollLoop.create({
        ...commonOptions,
        poll: () => this.readDocuments(this.hasReadDocuments ? watchMs : 0),
        onOutcome: (result) => this.logReachability("documents", result),
      }),
      PollLoop.create({
        ...commonOptions,
        poll: () => this.readHosts(this.hasReadHosts ? watchMs : 0),
        onOutcome: (result) => this.logReachability("hosts", result),
      }),
    ];
  }

  /** Creates a watcher and starts polling. */
  static create(options: PlatformWatcherOptions): PlatformWatcher {
    return new PlatformWatcher(options);
  }

  /** Whether the configuration documents have been read at least once. */
  get hasDocuments(): boolean {
    return this.hasReadDocuments;
  }

  /** Stops polling. */
  async close(): Promise<void> {
    for (const loop of this.loops) loop.close();
    await this.client.close();
  }

  private async readDocuments(waitMs: number): Promise<void> {
    const values = await this.client.readDocuments(this.revision, waitMs);
    await this.options.configuration.offer(values, "platform");
    for (const value of values) {
      this.revision = Math.max(this.revision, value.revision);
    }
    this.hasReadDocuments = true;
  }

  private async readHosts(waitMs: number): Promise<void> {
    const list = await this.client.readHosts(
      this.version,
      this.options.settings.id,
      waitMs,
    );
    this.version = Math.max(this.version, list.version);
    this.hasReadHosts = true;
    this.options.membership.offerHostList(list);
  }

  /** Whether this router is one of the routers of its hall that watch the platform in the current interval. A router
   * without documents, or that is not among the responsive routers of its hall in its own view, always watches. */
  private isWatcher(): boolean {
    if (this.options.configuration.documents.revision === 0) return true;
    const { id, hall, platform } = this.options.settings;
    const routers = this.options.membership.view.routers.filter((router) =>
      router.heard && router.host.hall === hall
    );
    const interval = Math.floor(Date.now() / ROTATION_INTERVAL_MS);
    const routerIds = routers.map((router) => router.host.id);
    if (!routerIds.includes(id)) return true;
    return rankByRendezvous(String(interval), routerIds).indexOf(id) <
      platform.watchersPerHall;
  }

  /** Logs when a source becomes unreachable or reachable again. */
  private logReachability(
    what: "documents" | "hosts",
    result: PollOutcome,
  ): void {
    const hasFailed = result === "failed";
    if (result === "idle" || hasFailed === this.failedSources.has(what)) return;
    if (hasFailed) this.failedSources.add(what);
    else this.failedSources.delete(what);
    this.options.logger.info(
      { what, reachable: !hasFailed },
      "platform_reachable",
    );
  }
}
