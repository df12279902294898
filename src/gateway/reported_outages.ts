import type { Logger } from "../logging/logger.ts";
import type { Timeline } from "../clock/timeline.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import { REPORTED_EJECTION_DELAY_MS } from "../upstreams/upstream_health.ts";

/** Dependencies and callbacks of {@link ReportedOutages}. */
export interface ReportedOutagesOptions {
  logger: Logger;
  /** Returns the listed upstream with an instance hash. */
  findUpstream: (instanceHash: number) => Upstream | undefined;
  /** Checks the path to an upstream; resolves with whether this host has connected to it. */
  checkPath: (upstream: Upstream) => Promise<boolean>;
  /** Called with each upstream that this host has connected to although others reported an outage. */
  onDisproved: (upstream: Upstream) => void;
  /** Called with each upstream that is ejected from now on, since neither this host nor another has disproved the
   * reports. */
  onEjected: (upstream: Upstream) => void;
  timeline: Timeline;
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
    const { findUpstream, timeline, logger } = this.options;
    const upstream = findUpstream(instanceHash);
    if (!upstream) return;
    const ejectedMs = upstream.health.recordReportedOutage(timeline.read());
    logger.warn(
      { upstream: upstream.id, sign: "reported", ejectedMs },
      "upstream_ejected",
    );
    void this.disprove(upstream);
    timeline.after(
      REPORTED_EJECTION_DELAY_MS,
      () => this.confirm(upstream),
    );
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

  private confirm(upstream: Upstream): void {
    const { timeline, onEjected } = this.options;
    if (upstream.health.isEjected(timeline.read())) onEjected(upstream);
  }

  private async disprove(upstream: Upstream): Promise<void> {
    const { checkPath, onDisproved } = this.options;
    if (!await checkPath(upstream)) return;
    this.clear(upstream.instanceHash);
    onDisproved(upstream);
  }
}
