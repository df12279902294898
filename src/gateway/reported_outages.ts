import type { Logger } from "../logging/logger.ts";
import type { Upstream } from "../upstreams/upstream.ts";

/** Dependencies and callbacks of {@link ReportedOutages}. */
export interface ReportedOutagesOptions {
  logger: Logger;
  /** Returns the listed upstream with an instance hash. */
  findUpstream: (instanceHash: number) => Upstream | undefined;
  /** Checks the path to an upstream; resolves with whether this host has connected to it. */
  checkPath: (upstream: Upstream) => Promise<boolean>;
  /** Called with each upstream that this host has connected to although others reported an outage. */
  onDisproved: (upstream: Upstream) => void;
  /** Returns monotonic milliseconds. */
  readNow: () => number;
}

/** Ejects upstreams to which other hosts could not connect, until a host has connected to them or heard from them. */
export class ReportedOutages {
  private constructor(private readonly options: ReportedOutagesOptions) {}

  /** Creates the handling of reports.
   * @param options Its dependencies and callbacks. */
  static create(options: ReportedOutagesOptions): ReportedOutages {
    return new ReportedOutages(options);
  }

  /** Ejects an instance of an upstream soon, unless this host can connect to it.
   * @param instanceHash Hash of the instance. */
  record(instanceHash: number): void {
    const { findUpstream, readNow, logger } = this.options;
    const upstream = findUpstream(instanceHash);
    if (!upstream) return;
    const ejectedMs = upstream.health.recordReportedOutage(readNow());
    logger.warn(
      { upstream: upstream.id, sign: "reported", ejectedMs },
      "upstream_ejected",
    );
    void this.disprove(upstream);
  }

  /** Ends the ejection of an instance, since a host has connected to it or heard from it.
   * @param instanceHash Hash of the instance. */
  clear(instanceHash: number): void {
    const upstream = this.options.findUpstream(instanceHash);
    if (!upstream) return;
    upstream.health.clearReportedOutage();
    this.options.logger.info(
      { upstream: upstream.id },
      "reported_outage_contradicted",
    );
  }

  private async disprove(upstream: Upstream): Promise<void> {
    const { checkPath, onDisproved } = this.options;
    if (!await checkPath(upstream)) return;
    this.clear(upstream.instanceHash);
    onDisproved(upstream);
  }
}
