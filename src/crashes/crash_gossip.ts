import {
  type CancelTimer,
  processTimeline,
  type Timeline,
} from "../clock/timeline.ts";
import { SMALL_FLEET_MAX_HOSTS } from "../peers/host_table.ts";
import { Random } from "../random/random.ts";
import type { CrashNews } from "./crash_news.ts";
import type { CrashNewsSource } from "./crash_news_source.ts";

/** Time for which news is batched before it is sent, in milliseconds. */
const BATCH_DELAY_MS = 15;
/** Time between two batches if more news is pending than one holds, in milliseconds; it limits a host's sending rate
 * when many upstreams crash at once. */
const NEXT_BATCH_DELAY_MS = 400;
/** Hosts that a batch is sent to in a large fleet. Each receiver forwards what is new to it to as many, so that all
 * but two in a thousand of 2,700 hosts receive it within eight hops (mean of twenty random draws). */
const LARGE_FLEET_FANOUT = 6;
/** Interval of the anti-entropy messages, in milliseconds. Each goes to one random host; a host that started late or
 * was cut off receives the reports that it missed within a few intervals. */
const ANTI_ENTROPY_INTERVAL_MS = 500;

/** Dependencies of `CrashGossip`. */
export interface CrashGossipOptions {
  news: CrashNewsSource;
  /** Returns the other live hosts, as `send` accepts them. */
  getHosts: () => readonly string[];
  /** Sends news to one host; it may be lost. */
  send: (host: string, news: CrashNews) => void;
  /** Clock and timers; those of the process by default. */
  timeline?: Timeline;
  random?: Random;
}

/** Gossips which requests were in flight on upstreams when they crashed, how often the parts of their prompts have
 * completed, and which parts are held. News is sent immediately to all hosts, or in a large fleet to some that forward
 * it; anti-entropy messages reach hosts that missed it. Nothing is sent while no crash is known. */
export class CrashGossip {
  private readonly timeline: Timeline;
  private readonly random: Random;
  private readonly cancelAntiEntropy: CancelTimer;
  /** Latest incarnation of each host that was told of after its start. */
  private readonly startedIncarnations = new Map<string, number>();
  private cancelBatch: CancelTimer | undefined;

  private constructor(private readonly options: CrashGossipOptions) {
    this.timeline = options.timeline ?? processTimeline;
    this.random = options.random ?? Random.create();
    this.cancelAntiEntropy = this.timeline.every(
      ANTI_ENTROPY_INTERVAL_MS,
      () => this.sendSample(),
    );
  }

  /** Starts gossiping.
   * @param options Dependencies. */
  static create(options: CrashGossipOptions): CrashGossip {
    return new CrashGossip(options);
  }

  /** Schedules a batch of the pending news, unless one is scheduled already. */
  scheduleBatch(): void {
    this.cancelBatch ??= this.timeline.after(
      BATCH_DELAY_MS,
      () => this.sendBatch(),
    );
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
    this.cancelAntiEntropy();
    this.cancelBatch?.();
  }

  private sendBatch(): void {
    this.cancelBatch = undefined;
    const { news, getHosts } = this.options;
    const pending = news.takePending(this.timeline.read());
    const hosts = this.random.shuffle(getHosts());
    const receivers = hosts.length <= SMALL_FLEET_MAX_HOSTS
      ? hosts
      : hosts.slice(0, LARGE_FLEET_FANOUT);
    for (const host of receivers) this.send(host, pending);
    if (!news.hasPending) return;
    this.cancelBatch = this.timeline.after(
      NEXT_BATCH_DELAY_MS,
      () => this.sendBatch(),
    );
  }

  private sendSample(): void {
    const [host] = this.random.shuffle(this.options.getHosts());
    if (host !== undefined) this.sendSampleTo(host);
  }

  private sendSampleTo(host: string): void {
    const { news } = this.options;
    if (news.isEmpty) return;
    this.send(host, news.sample(this.timeline.read(), this.random));
  }

  private send(host: string, news: CrashNews): void {
    if (isEmpty(news)) return;
    this.options.send(host, news);
  }
}

function isEmpty({ reports, completions, heldParts }: CrashNews): boolean {
  return reports.length + completions.length + heldParts.length === 0;
}
