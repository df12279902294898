import { readClock } from "../clock/clock.ts";
import { SMALL_FLEET_MAX_HOSTS } from "../peers/host_table.ts";
import { Random } from "../random/random.ts";
import type { CrashStore } from "./crash_store.ts";
import type { CrashReport } from "./crash_report.ts";

/** Time in which new reports are batched before they are sent, in milliseconds. */
const BATCH_DELAY_MS = 15;
/** Time between two batches if more reports are pending than one holds, in milliseconds; it limits a host's sending
 * rate when many upstreams crash at once. */
const NEXT_BATCH_DELAY_MS = 400;
/** Maximum number of reports in one message. At about forty bytes each, a datagram of them fits into one packet. */
const MAX_REPORTS_PER_MESSAGE = 30;
/** Hosts that a batch is sent to in a large fleet. Each receiver forwards what is new to it to as many, so that all
 * but two in a thousand of 2,700 hosts receive it within eight hops (mean of twenty random draws). */
const LARGE_FLEET_FANOUT = 6;
/** Interval of the anti-entropy messages, in milliseconds. Each goes to one random host; a host that started late or
 * was cut off receives the reports that it missed within a few intervals. */
const ANTI_ENTROPY_INTERVAL_MS = 500;

/** Dependencies of `CrashGossip`. */
export interface CrashGossipOptions {
  store: CrashStore;
  /** Returns the other live hosts, as `send` accepts them. */
  getHosts: () => readonly string[];
  /** Sends reports to one host; they may be lost. */
  send: (host: string, reports: readonly CrashReport[]) => void;
}

/** Gossips reports of the requests that were in flight on upstreams when they crashed. New reports are sent
 * immediately to all hosts, or in a large fleet to some that forward them; anti-entropy messages reach hosts that
 * missed them. Nothing is sent while the store is empty. */
export class CrashGossip {
  private readonly random = Random.create();
  private readonly antiEntropyTimer: NodeJS.Timeout;
  /** Latest incarnation of each host that was told of after its start. */
  private readonly startedIncarnations = new Map<string, number>();
  private batchTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: CrashGossipOptions) {
    this.antiEntropyTimer = setInterval(
      () => this.sendSample(),
      ANTI_ENTROPY_INTERVAL_MS,
    );
  }

  /** Starts gossiping.
   * @param options Dependencies. */
  static create(options: CrashGossipOptions): CrashGossip {
    return new CrashGossip(options);
  }

  /** Schedules a batch of the pending reports, unless one is scheduled already. */
  scheduleBatch(): void {
    this.batchTimer ??= setTimeout(() => this.sendBatch(), BATCH_DELAY_MS);
  }

  /** Sends the known reports to a host that has just started, once per start. In a large fleet only some hosts do.
   * @param host The host, as `send` accepts it.
   * @param incarnation Its incarnation, which increases with each start. */
  informStarted(host: string, incarnation: number): void {
    const known = this.startedIncarnations.get(host) ?? -Infinity;
    if (incarnation <= known) return;
    this.startedIncarnations.set(host, incarnation);
    const others = this.options.getHosts().length;
    const isChosen = others <= SMALL_FLEET_MAX_HOSTS ||
      this.random.integer(1, others) <= LARGE_FLEET_FANOUT;
    if (isChosen) this.sendSampleTo(host);
  }

  /** Stops gossiping. */
  close(): void {
    clearInterval(this.antiEntropyTimer);
    clearTimeout(this.batchTimer);
  }

  private sendBatch(): void {
    this.batchTimer = undefined;
    const { store, getHosts } = this.options;
    const reports = store.takePendingReports(
      MAX_REPORTS_PER_MESSAGE,
      readClock(),
    );
    const hosts = this.random.shuffle(getHosts());
    const receivers = hosts.length <= SMALL_FLEET_MAX_HOSTS
      ? hosts
      : hosts.slice(0, LARGE_FLEET_FANOUT);
    for (const host of receivers) this.send(host, reports);
    if (store.hasPendingReports) {
      this.batchTimer = setTimeout(() => this.sendBatch(), NEXT_BATCH_DELAY_MS);
    }
  }

  private sendSample(): void {
    const [host] = this.random.shuffle(this.options.getHosts());
    if (host !== undefined) this.sendSampleTo(host);
  }

  private sendSampleTo(host: string): void {
    const { store } = this.options;
    if (store.isEmpty) return;
    this.send(
      host,
      store.sampleReports(MAX_REPORTS_PER_MESSAGE, readClock(), this.random),
    );
  }

  private send(host: string, reports: readonly CrashReport[]): void {
    if (reports.length === 0) return;
    this.options.send(host, reports);
  }
}
