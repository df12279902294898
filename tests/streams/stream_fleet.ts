import type { StreamTracker } from "../../src/forward/stream_tracker.ts";
import { Random } from "../../src/random/random.ts";
import { runWithMicrotasks } from "../clock/run_with_microtasks.ts";
import { VirtualFleet } from "../peers/virtual_fleet.ts";
import { VirtualStream } from "./virtual_stream.ts";
import { VirtualStreamHost } from "./virtual_stream_host.ts";
import { VirtualUpstreams } from "./virtual_upstreams.ts";

/** Time from the start of the fleet until callers send requests, in milliseconds. */
export const TRAFFIC_FROM_MS = 4_000;
const START_WITHIN_MS = 300;
const SEEDS = 3;
/** Minimum and maximum time until a host learns of a change of the published list, in milliseconds. */
const PUBLICATION_MS = [2, 40] as const;
/** Minimum and maximum time until an attempt's first event, in milliseconds. */
const FIRST_EVENT_MS = [30, 120] as const;
const EVENT_GAP_MS = 60;
/** Minimum and maximum number of events of a stream. */
const EVENTS = [3, 80] as const;
/** Minimum and maximum time until a caller resumes a broken stream, in milliseconds. */
const RESUME_MS = [5, 400] as const;
/** Turns of the microtask queue after each step, which end all pending lookups. */
const TURNS_PER_STEP = 12;
const MAX_ATTEMPTS = 3;

/** Options of a {@link StreamFleet}. */
export interface StreamFleetOptions {
  seed: number;
  hosts: number;
  streamsPerSecond: number;
  /** Fraction of the datagrams between hosts that are lost. */
  loss: number;
}

/** One attempt of a caller in progress. */
interface CallerAttempt {
  stream: VirtualStream;
  hostIndex: number;
  host: VirtualStreamHost;
  tracker: StreamTracker;
  requestId: string;
  tried: Set<string>;
  upstreamId: string | undefined;
  isOver: boolean;
}

/** Hosts in virtual time that forward streams and resume them, with upstreams of several software versions. */
export class StreamFleet {
  readonly fleet: VirtualFleet;
  readonly upstreams: VirtualUpstreams;
  readonly streams: VirtualStream[] = [];
  /** Number of new streams that got their first event, and that were sent. */
  readonly begun = { sent: 0, begun: 0 };
  private readonly random: Random;
  private readonly hosts = new Map<number, VirtualStreamHost>();
  private attempts: CallerAttempt[] = [];
  private requests = 0;
  private lastStartAt = 0;

  private constructor(private readonly options: StreamFleetOptions) {
    const { seed, hosts, loss } = options;
    this.random = Random.create(seed);
    this.fleet = VirtualFleet.create({
      seed,
      size: hosts,
      seeds: SEEDS,
      loss,
      startWithinMs: START_WITHIN_MS,
      onStart: (started) => {
        const isFirst = started.timeline.read() <= START_WITHIN_MS;
        const host = new VirtualStreamHost(
          started,
          this.random.fork(),
          isFirst,
          () => this.upstreams.readHistory(),
        );
        this.hosts.set(started.index, host);
        for (const { published, isRunning } of this.upstreams.all.values()) {
          if (isRunning) host.applyChange({ id: published.id, published });
        }
        return () => host.close();
      },
    });
    this.upstreams = new VirtualUpstreams(this.fleet.timeline, this.random);
    this.upstreams.onChange = (change) => {
      for (const host of this.hosts.values()) {
        const delayMs = this.random.integer(...PUBLICATION_MS);
        this.fleet.timeline.after(delayMs, () => host.applyChange(change));
      }
    };
    this.upstreams.onInterruption = (id) => this.interruptUpstream(id);
    this.at(TRAFFIC_FROM_MS, () => this.sendNext());
  }

  /** Creates a fleet that starts for the first time.
   * @param options Its options. */
  static create(options: StreamFleetOptions): StreamFleet {
    return new StreamFleet(options);
  }

  /** Schedules an action.
   * @param at Virtual milliseconds.
   * @param action The action. */
  at(at: number, action: () => void): void {
    const { timeline } = this.fleet;
    timeline.after(at - timeline.read(), action);
  }

  /** Advances the time.
   * @param until Virtual milliseconds. */
  async runUntil(until: number): Promise<void> {
    await runWithMicrotasks(this.fleet.timeline, until, TURNS_PER_STEP);
  }

  /** Kills hosts at once and starts them again, except those that are down.
   * @param indices Their indices.
   * @param downMs Time until they start, in milliseconds. */
  kill(indices: readonly number[], downMs: number): void {
    for (const index of indices) {
      if (!this.hosts.delete(index)) continue;
      this.fleet.stopHost(index);
      this.fleet.timeline.after(downMs, () => {
        this.fleet.startHost(index);
        this.lastStartAt = this.fleet.timeline.read();
      });
    }
    const isLost = this.hosts.size === 0;
    for (const stream of this.streams) stream.wasLostByAll ||= isLost;
    for (const attempt of this.attempts) {
      if (!attempt.host.isRunning) this.breakOff(attempt);
    }
  }

  /** Breaks the connections of callers.
   * @param fraction Fraction of them. */
  cutCallers(fraction: number): void {
    for (const attempt of [...this.attempts]) {
      if (this.random.fraction() < fraction) this.breakOff(attempt);
    }
  }

  private sendNext(): void {
    const { timeline } = this.fleet;
    this.startStream();
    const gapMs = 1_000 / this.options.streamsPerSecond;
    timeline.after(this.random.fraction() * 2 * gapMs, () => this.sendNext());
  }

  private startStream(): void {
    const stream = VirtualStream.create(this.random.integer(...EVENTS));
    this.streams.push(stream);
    this.begun.sent += 1;
    void this.sendAttempt(stream);
  }

  private async sendAttempt(stream: VirtualStream): Promise<void> {
    const hosts = [...this.hosts].filter(([index]) =>
      this.fleet.isActive(index)
    );
    if (hosts.length === 0) return this.sendLater(stream);
    const [hostIndex, host] = this.random.pick(hosts);
    this.requests += 1;
    const requestId = `r-${this.requests}`;
    const { isResuming } = stream;
    const version = stream.versions[0];
    const isJudged = isResuming && this.countServing(version) >= 2;
    const tracker = await host.admit({
      requestId,
      lastEventId: isResuming ? String(stream.received) : undefined,
      resumedRequestId: stream.firstRequestId,
    });
    if (isJudged) stream.recordResume(tracker !== undefined);
    if (!tracker || !host.isRunning) return;
    const attempt: CallerAttempt = {
      stream,
      hostIndex,
      host,
      tracker,
      requestId,
      tried: new Set(),
      upstreamId: undefined,
      isOver: false,
    };
    this.attempts.push(attempt);
    this.sendToUpstream(attempt);
  }

  private countServing(version: string | undefined): number {
    return this.upstreams.getServing().filter(({ published }) =>
      published.softwareVersion === version
    ).length;
  }

  private sendToUpstream(attempt: CallerAttempt): void {
    const { host, tracker, tried } = attempt;
    const upstream = tried.size < MAX_ATTEMPTS
      ? host.choose(tracker, tried)
      : undefined;
    if (!upstream) return this.breakOff(attempt);
    tried.add(upstream.id);
    attempt.upstreamId = upstream.id;
    tracker.recordSend(upstream);
    const delayMs = this.random.integer(...FIRST_EVENT_MS);
    this.scheduleEvent(attempt, upstream.id, delayMs);
  }

  private scheduleEvent(
    attempt: CallerAttempt,
    upstreamId: string,
    delayMs: number,
  ): void {
    this.fleet.timeline.after(delayMs, () => {
      if (attempt.isOver || attempt.upstreamId !== upstreamId) return;
      if (!this.fleet.isActive(attempt.hostIndex)) {
        // A paused host forwards nothing until it is resumed.
        return this.scheduleEvent(attempt, upstreamId, EVENT_GAP_MS);
      }
      const { published, isRunning } = this.upstreams.all.get(upstreamId)!;
      if (!isRunning) return this.interruptUpstream(upstreamId);
      const { stream, tracker, requestId } = attempt;
      if (!stream.isResuming) this.begun.begun += 1;
      stream.recordEvent(requestId, published.softwareVersion!);
      tracker.recordEvent();
      if (stream.isComplete) this.end(attempt);
      else this.scheduleEvent(attempt, upstreamId, EVENT_GAP_MS);
    });
  }

  private interruptUpstream(id: string): void {
    for (const attempt of [...this.attempts]) {
      if (attempt.upstreamId === id) this.sendToUpstream(attempt);
    }
  }

  /** Ends an attempt whose caller then resumes the stream. */
  private breakOff(attempt: CallerAttempt): void {
    this.end(attempt);
    const { stream } = attempt;
    if (!stream.mayRetry) return;
    stream.retries += 1;
    this.sendLater(stream);
  }

  private sendLater(stream: VirtualStream): void {
    this.fleet.timeline.after(
      this.random.integer(...RESUME_MS),
      () => void this.sendAttempt(stream),
    );
  }

  private end(attempt: CallerAttempt): void {
    attempt.isOver = true;
    this.attempts = this.attempts.filter((other) => other !== attempt);
    if (attempt.host.isRunning) attempt.tracker.close();
  }
}
