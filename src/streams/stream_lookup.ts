import type { CancelTimer, Timeline } from "../clock/timeline.ts";
import type { ObservedVersions } from "../upstreams/version_history.ts";
import type { StreamRecord } from "./stream_record.ts";

/** Interval at which hosts that have not responded are asked again, and those discovered meanwhile for the first time, in
 * milliseconds: several round-trip times within a region. */
const ASK_INTERVAL_MS = 25;
/** Time after which a lookup that has found a record waits for no more responses, in milliseconds. */
const FOUND_TIMEOUT_MS = 60;
/** Timeout of a lookup, in milliseconds; short compared with the silence after which callers abandon a stream. */
const TIMEOUT_MS = 150;

/** What one host knows of a stream. */
export interface StreamKnowledge extends ObservedVersions {
  record: StreamRecord | undefined;
}

/** What all hosts that responded know of a stream. */
export interface StreamLookupResult extends StreamKnowledge {
  /** Number of other hosts that were asked. */
  askedHosts: number;
  /** Number of those that responded. */
  responses: number;
}

/** Dependencies of a {@link StreamLookup}. */
export interface StreamLookupOptions {
  /** What this host knows. */
  own: StreamKnowledge;
  /** Returns the addresses of the hosts to ask. */
  getHosts: () => readonly string[];
  /** Whether this host has discovered its fleet; until then others may know the stream. */
  knowsFleet: () => boolean;
  ask: (host: string) => void;
  timeline: Timeline;
}

/** One lookup of a stream, until all hosts have responded or the time is over. */
export class StreamLookup {
  /** Resolves with the outcome. */
  readonly result: Promise<StreamLookupResult>;
  private resolve!: (result: StreamLookupResult) => void;
  private readonly asked = new Set<string>();
  private readonly unanswered = new Set<string>();
  private readonly versions: Set<string>;
  private record: StreamRecord | undefined;
  private observedMs: number;
  private timers: CancelTimer[] = [];

  private constructor(private readonly options: StreamLookupOptions) {
    const { own } = options;
    this.versions = new Set(own.versions);
    this.record = own.record;
    this.observedMs = own.observedMs;
    this.result = new Promise((resolve) => this.resolve = resolve);
  }

  /** Starts a lookup.
   * @param options Its dependencies. */
  static create(options: StreamLookupOptions): StreamLookup {
    const lookup = new StreamLookup(options);
    lookup.start();
    return lookup;
  }

  /** Records the response of a host.
   * @param host Address of the host.
   * @param knowledge What it knows. */
  recordResponse(host: string, knowledge: StreamKnowledge): void {
    if (!this.unanswered.delete(host)) return;
    const { record, versions, observedMs } = knowledge;
    if (record && record.order > (this.record?.order ?? 0)) {
      this.record = record;
    }
    for (const version of versions) this.versions.add(version);
    this.observedMs = Math.max(this.observedMs, observedMs);
    this.closeIfComplete();
  }

  /** Ends the lookup with what is known. */
  close(): void {
    for (const cancel of this.timers) cancel();
    this.resolve({
      record: this.record,
      versions: [...this.versions],
      observedMs: this.observedMs,
      askedHosts: this.asked.size,
      responses: this.asked.size - this.unanswered.size,
    });
  }

  private start(): void {
    const { timeline } = this.options;
    this.timers = [
      timeline.every(ASK_INTERVAL_MS, () => this.askHosts()),
      timeline.after(FOUND_TIMEOUT_MS, () => this.record && this.close()),
      timeline.after(TIMEOUT_MS, () => this.close()),
    ];
    this.askHosts();
    this.closeIfComplete();
  }

  private closeIfComplete(): void {
    if (this.unanswered.size > 0) return;
    if (this.record || this.options.knowsFleet()) this.close();
  }

  private askHosts(): void {
    for (const host of this.options.getHosts()) {
      if (this.asked.has(host)) continue;
      this.asked.add(host);
      this.unanswered.add(host);
    }
    for (const host of this.unanswered) this.options.ask(host);
  }
}
