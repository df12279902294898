import type { Logger } from "../logging/logger.ts";
import type { HostTable } from "./host_table.ts";
import type { KnownHost } from "./known_host.ts";

/** Logs hosts that become live or cease to be live. */
export class LivenessLogger {
  /** Ids of the hosts that were live at the last check. */
  private readonly previouslyLive = new Set<string>();

  private constructor(
    private readonly hosts: HostTable,
    private readonly logger: Logger,
  ) {}

  /** Creates a logger of liveness changes.
   * @param hosts The host table.
   * @param logger Receives the log lines. */
  static create(hosts: HostTable, logger: Logger): LivenessLogger {
    return new LivenessLogger(hosts, logger);
  }

  /** Logs each host whose liveness has changed since the last call.
   * @param now Monotonic milliseconds. */
  logChanges(now: number): void {
    for (const host of this.hosts.getAll()) this.logChange(host, now);
  }

  private logChange(host: KnownHost, now: number): void {
    const { id, phase } = host.entry;
    const isLive = this.hosts.isLive(host, now);
    if (isLive === this.previouslyLive.has(id)) return;
    if (isLive) this.previouslyLive.add(id);
    else this.previouslyLive.delete(id);
    const silentMs = Math.round(now - host.lastSeenAt);
    this.logger.info(
      { peer: id, phase, silentMs },
      isLive ? "host_heard" : "host_lost",
    );
  }
}
