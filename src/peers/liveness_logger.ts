import type { Logger } from "../logging/logger.ts";
import type { HostTable } from "./host_table.ts";
import type { KnownHost } from "./known_host.ts";

/** Logs which hosts begin and cease to be taken for live. */
export class LiveLog {
  /** Ids of the hosts that were taken for live when last looked. */
  private readonly liveBefore = new Set<string>();

  private constructor(
    private readonly hosts: HostTable,
    private readonly logger: Logger,
  ) {}

  /** Creates a log.
   * @param hosts The hosts.
   * @param logger Where changes are written. */
  static create(hosts: HostTable, logger: Logger): LiveLog {
    return new LiveLog(hosts, logger);
  }

  /** Writes a line for each host that has changed.
   * @param now Monotonic milliseconds. */
  update(now: number): void {
    for (const host of this.hosts.getAll()) this.updateHost(host, now);
  }

  private updateHost(host: KnownHost, now: number): void {
    const { id, phase } = host.entry;
    const isLive = this.hosts.isLive(host, now);
    if (isLive === this.liveBefore.has(id)) return;
    if (isLive) this.liveBefore.add(id);
    else this.liveBefore.delete(id);
    const silentMs = Math.round(now - host.heardAt);
    this.logger.info(
      { peer: id, phase, silentMs },
      isLive ? "host_heard" : "host_lost",
    );
  }
}
