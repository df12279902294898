import { SMALL_FLEET_MAX_HOSTS } from "./host_table.ts";
import { Random } from "../random/random.ts";
import type {
  OutageReport,
  OutageReports,
} from "../upstreams/outage_reports.ts";

/** Time in which new reports are batched before they are sent, in milliseconds. */
const BATCH_DELAY_MS = 25;
/** Maximum number of reports in a datagram, so that it fits into one packet. */
const MAX_REPORTS_PER_MESSAGE = 80;
/** Hosts that a batch is sent to in a large fleet; each receiver passes on what is new to it. */
const LARGE_FLEET_FANOUT = 4;

/** Dependencies of {@link OutageGossip}. */
export interface OutageGossipOptions {
  reports: OutageReports;
  /** Returns the other live hosts, as `send` accepts them. */
  getHosts: () => readonly string[];
  /** Sends reports to one host; they may be lost. */
  send: (host: string, reports: readonly OutageReport[]) => void;
}

/** Passes on reports of failed connections to upstreams: to all hosts, or in a large fleet to some that pass them on. */
export class OutageGossip {
  private readonly random = Random.create();
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: OutageGossipOptions) {}

  /** Creates a gossip that sends nothing until there are reports.
   * @param options Its dependencies. */
  static create(options: OutageGossipOptions): OutageGossip {
    return new OutageGossip(options);
  }

  /** Schedules a batch of the pending reports, unless one is scheduled already. */
  scheduleBatch(): void {
    this.timer ??= setTimeout(() => this.sendBatch(), BATCH_DELAY_MS);
  }

  /** Cancels the scheduled batch. */
  close(): void {
    clearTimeout(this.timer);
  }

  private sendBatch(): void {
    this.timer = undefined;
    const { reports, getHosts, send } = this.options;
    const batch = reports.takePending(MAX_REPORTS_PER_MESSAGE);
    if (batch.length === 0) return;
    const hosts = this.random.shuffle(getHosts());
    const receivers = hosts.length <= SMALL_FLEET_MAX_HOSTS
      ? hosts
      : hosts.slice(0, LARGE_FLEET_FANOUT);
    for (const host of receivers) send(host, batch);
    this.scheduleBatch();
  }
}
