import type { ConfigurationKeeper } from "../configuration/configuration_keeper.ts";
import { rankByRendezvous } from "../hashing/rendezvous.ts";
import type { Logger } from "../logging/logger.ts";
import type { Membership } from "../membership/membership.ts";
import { PlatformClient } from "../configuration_service/platform_client.ts";
import { PollLoop, type PollTurn } from "../polling/poll_loop.ts";
import type { Settings } from "../settings/settings_schema.ts";

/** Time after which other routers of a hall watch. */
const WATCH_WINDOW_MS = 60_000;

/** What the watch needs of the rest of the router. */
export interface PlatformWatchOptions {
  settings: Settings;
  logger: Logger;
  membership: Membership;
  configuration: ConfigurationKeeper;
}

/** Watches the platform's documents and host list, while it is this router's turn. */
export class PlatformWatch {
  private readonly client: PlatformClient;
  private readonly loops: PollLoop[];
  private revision = 0;
  private version = 0;
  private hasRead = false;
  private readonly failing = new Set<string>();

  private constructor(private readonly options: PlatformWatchOptions) {
    const { url, watchMs, retryMs } = options.settings.platform;
    this.client = PlatformClient.create(url);
    const shared = {
      isActive: () => this.isWatcher(),
      getPauseMs: () => retryMs,
    };
    this.loops = [
      PollLoop.create({
        ...shared,
        step: () => this.readDocuments(this.hasRead ? watchMs : 0),
        onTurn: (turn) => this.logTurn("documents", turn),
      }),
      PollLoop.create({
        ...shared,
        step: () => this.readHosts(this.version === 0 ? 0 : watchMs),
        onTurn: (turn) => this.logTurn("hosts", turn),
      }),
    ];
  }

  /** Creates the watch and starts it.
   * @param options What it needs. */
  static create(options: PlatformWatchOptions): PlatformWatch {
    return new PlatformWatch(options);
  }

  /** Whether the documents were read at least once. */
  get hasDocuments(): boolean {
    return this.hasRead;
  }

  /** Ends the watch. */
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
    this.hasRead = true;
  }

  private async readHosts(waitMs: number): Promise<void> {
    const list = await this.client.readHosts(
      this.version,
      this.options.settings.id,
      waitMs,
    );
    this.version = Math.max(this.version, list.version);
    this.options.membership.offerHostList(list);
  }

  /** Whether this router is among those of its hall that watch in the present window. */
  private isWatcher(): boolean {
    const { id, hall, platform } = this.options.settings;
    const routers = this.options.membership.view.routers.filter((router) =>
      router.heard && router.host.hall === hall
    );
    const window = Math.floor(Date.now() / WATCH_WINDOW_MS);
    const others = routers.map((router) => router.host.id);
    if (!others.includes(id)) return true;
    return rankByRendezvous(String(window), others).indexOf(id) <
      platform.watchersPerHall;
  }

  /** Logs each change between failing and working. */
  private logTurn(what: "documents" | "hosts", turn: PollTurn): void {
    const hasFailed = turn === "failed";
    if (turn === "idle" || hasFailed === this.failing.has(what)) return;
    if (hasFailed) this.failing.add(what);
    else this.failing.delete(what);
    this.options.logger.info(
      { what, reachable: !hasFailed },
      "platform_reachable",
    );
  }
}
