import type { CancelTimer, Timeline } from "../clock/timeline.ts";
import type { ObservedVersions } from "../upstreams/version_history.ts";
import type { StreamRecord } from "./stream_record.ts";

/** Time after which hosts that have not responded are asked again, in milliseconds: several round-trip times within a
 * region. */
const RESEND_DELAY_MS = 25;
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
  /** Addresses of the hosts to ask. */
  hosts: readonly string[];
  ask: (host: string) => void;
  timeline: Timeline;
}

/** One lookup of a stream, until all hosts have responded or the time is over. */
export class StreamLookup {
  /** Resolves with the outcome. */
  readonly result: Promise<StreamLookupResult>;
  private resolve!: (result: StreamLookupResult) => void;
  private readonly unanswered: Set<string>;
  private readonly versions: Set<string>;
  private record: StreamRecord | undefined;
  private observedMs: number;
  private timers: CancelTimer[] = [];

  private constructor(private readonly options: StreamLookupOptions) {
    const { own, hosts } = options;
    this.unanswered = new Set(hosts);
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
    if (this.unanswered.size === 0) this.close();
  }

  /** Ends the lookup with what is known. */
  close(): void {
    for (const cancel of this.timers) cancel();
    const { hosts } = this.options;
    this.resolve({
      record: this.record,
      versions: [...this.versions],
      observedMs: this.observedMs,
      askedHosts: hosts.length,
      responses: hosts.length - this.unanswered.size,
    });
  }

  private start(): void {
    if (this.unanswered.size === 0) return this.close();
    const { timeline } = this.options;
    this.timers = [
      timeline.after(RESEND_DELAY_MS, () => this.askUnanswered()),
      timeline.after(FOUND_TIMEOUT_MS, () => this.record && this.close()),
      timeline.after(TIMEOUT_MS, () => this.close()),
    ];
    this.askUnanswered();
  }

  private askUnanswered(): void {
    for (const host of this.unanswered) this.options.ask(host);
  }
}
