import { readClock } from "../clock/clock.ts";
import { hashText } from "../hashing/hasher.ts";
import type { PathMonitor } from "../paths/path_monitor.ts";
import type { PathTarget } from "../paths/path_target.ts";
import type { DatagramPort } from "../peers/datagram_socket.ts";
import { OutageGossip } from "../peers/outage_gossip.ts";
import { OutageReports } from "../upstreams/outage_reports.ts";
import type { UpstreamChooser } from "./upstream_chooser.ts";

/** Dependencies of an {@link OutageExchange}. */
export interface OutageExchangeOptions {
  socket: DatagramPort;
  /** Gossip address of this host. */
  gossipAddress: string;
  chooser: UpstreamChooser;
  paths: PathMonitor;
  /** Returns the gossip addresses of the other live hosts. */
  getHosts: () => readonly string[];
}

/** Exchanges reports of upstreams to which hosts could not connect, and applies those of other hosts. */
export class OutageExchange {
  private readonly reports: OutageReports;
  private readonly gossip: OutageGossip;

  private constructor(private readonly options: OutageExchangeOptions) {
    const { socket, getHosts } = options;
    this.reports = this.createReports();
    this.gossip = OutageGossip.create({
      reports: this.reports,
      getHosts,
      send: (host, reports) =>
        socket.send(host, { type: "outage_reports", reports }),
    });
    socket.handle(
      "outage_reports",
      ({ reports }) => this.reports.merge(reports, readClock()),
    );
  }

  /** Creates an exchange without reports.
   * @param options Its dependencies. */
  static create(options: OutageExchangeOptions): OutageExchange {
    return new OutageExchange(options);
  }

  /** Reports soon to other hosts that no connection to an upstream was established.
   * @param upstream The upstream. */
  report({ instanceHash }: PathTarget): void {
    this.reports.recordFailure(instanceHash, readClock());
  }

  /** Reports soon to other hosts that this host has connected to an upstream.
   * @param upstream The upstream. */
  contradict({ instanceHash }: PathTarget): void {
    this.reports.contradict(instanceHash, readClock());
  }

  /** Whether several hosts could not connect to an upstream a short time ago.
   * @param upstream The upstream. */
  isReportedOut({ instanceHash }: PathTarget): boolean {
    return this.reports.isOut(instanceHash, readClock());
  }

  /** Cancels what is scheduled to be sent. */
  close(): void {
    this.gossip.close();
  }

  private createReports(): OutageReports {
    const { gossipAddress, chooser } = this.options;
    const { upstreams, reportedOutages } = chooser;
    return OutageReports.create({
      reporter: hashText(gossipAddress),
      getLastReceivedAt: (instanceHash) =>
        upstreams.findByInstanceHash(instanceHash)?.lastReceivedAt ?? -Infinity,
      onPendingReports: () => this.gossip.scheduleBatch(),
      onOutage: (instanceHash) => reportedOutages.record(instanceHash),
      onContradiction: (instanceHash) => reportedOutages.clear(instanceHash),
      onHeardElsewhere: (instanceHash, reporter) =>
        this.recordHeardElsewhere(instanceHash, reporter),
    });
  }

  private recordHeardElsewhere(instanceHash: number, reporter: number): void {
    const { chooser, paths } = this.options;
    const upstream = chooser.upstreams.findByInstanceHash(instanceHash);
    if (!upstream) return;
    upstream.heardElsewhereAt = readClock();
    paths.recordHeardElsewhere(upstream, reporter);
  }
}
