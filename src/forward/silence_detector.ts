import { readClock } from "../clock/clock.ts";
import type { Route } from "../published/configuration_schema.ts";
import type { Upstream } from "../upstreams/upstream.ts";

/** Fraction of a route's objective without body bytes after which an upstream that failed recently counts as silent. */
const SUSPECT_SILENCE_RATIO = 0.5;
/** The same for any other upstream, which may only be busy with a long prompt. */
const HEALTHY_SILENCE_RATIO = 1;
/** Fraction of a route's objective after which the first body bytes are overdue, even if the upstream responds to other
 * requests: single responses get lost, and the remaining time lets a request that may run again meet the objective
 * elsewhere. */
const OVERDUE_RATIO = 0.6;
/** Minimum time before the first bytes count as missing or overdue, in milliseconds: several times as long as a healthy
 * upstream takes for its shortest work. */
const MIN_SILENCE_MS = 60;
/** Multiple of a route's event gap objective after which a stream counts as stalled. */
const STALL_RATIO = 1.5;
/** Event gap objective for routes that set none, in milliseconds. */
const DEFAULT_EVENT_GAP_MS = 1_000;

/** A period in which an attempt has received no bytes of the response body. */
export interface Silence {
  /** Duration in milliseconds. */
  silentMs: number;
  /** Whether the upstream was silent for all requests of this process. */
  isComplete: boolean;
  /** Whether the upstream is likely stuck: it failed recently, or was silent for all requests of this process. */
  isLikelyStuck: boolean;
}

/** Receives the silences of an attempt. */
export interface SilenceListener {
  /** The first bytes are overdue, which says little about the upstream; called at most once. */
  onOverdue(silence: Silence): void;
  /** The upstream is silent; called again each time the silence lasts for another period of the same length. */
  onSilence(silence: Silence): void;
}

/** Detects that an attempt has received no bytes of the response body for too long. */
export class SilenceDetector {
  private timer: NodeJS.Timeout | undefined;
  private timeoutMs = 0;
  private isClosed = false;
  private lastBytesAt = readClock();
  private overdueTimer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly upstream: Upstream,
    private readonly route: Route,
    private readonly listener: SilenceListener,
  ) {}

  /** Starts monitoring an attempt that is about to be sent.
   * @param upstream The upstream of the attempt.
   * @param route The route of the call.
   * @param listener Receives the silences. */
  static create(
    upstream: Upstream,
    route: Route,
    listener: SilenceListener,
  ): SilenceDetector {
    const detector = new SilenceDetector(upstream, route, listener);
    const ratio = upstream.health.isSuspect(readClock())
      ? SUSPECT_SILENCE_RATIO
      : HEALTHY_SILENCE_RATIO;
    detector.startTimer(Math.max(MIN_SILENCE_MS, route.objectiveMs * ratio));
    detector.overdueTimer = setTimeout(
      () => listener.onOverdue(detector.measureSilence()),
      Math.max(MIN_SILENCE_MS, route.objectiveMs * OVERDUE_RATIO),
    );
    return detector;
  }

  /** Time without bytes of the response body, in milliseconds. */
  get silentMs(): number {
    return readClock() - this.lastBytesAt;
  }

  /** Records that bytes of the response body arrived. */
  recordBytes(): void {
    this.lastBytesAt = readClock();
    clearTimeout(this.overdueTimer);
    this.startTimer(
      (this.route.gapObjectiveMs ?? DEFAULT_EVENT_GAP_MS) * STALL_RATIO,
    );
  }

  /** Returns whether bytes of the response body arrived at or after a time.
   * @param time Monotonic milliseconds. */
  hasReceivedSince(time: number): boolean {
    return this.lastBytesAt >= time;
  }

  /** Stops monitoring. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
    clearTimeout(this.overdueTimer);
  }

  /** Starts the timer. An unchanged timeout only refreshes it, since this is done for each event of a stream. */
  private startTimer(timeoutMs: number): void {
    if (this.isClosed) return;
    if (this.timer && timeoutMs === this.timeoutMs) {
      this.timer.refresh();
      return;
    }
    clearTimeout(this.timer);
    this.timeoutMs = timeoutMs;
    this.timer = setTimeout(() => this.reportSilence(), timeoutMs);
  }

  private reportSilence(): void {
    const silence = this.measureSilence();
    this.timer?.refresh();
    this.listener.onSilence(silence);
  }

  private measureSilence(): Silence {
    const { health, lastReceivedAt } = this.upstream;
    const now = readClock();
    const isComplete = lastReceivedAt <= this.lastBytesAt;
    return {
      silentMs: this.silentMs,
      isComplete,
      isLikelyStuck: isComplete || health.isSuspect(now),
    };
  }
}

/** Formats the duration of a silence, for the log and as the reason of the next attempt.
 * @param silentMs Duration in milliseconds. */
export function formatSilence(silentMs: number): string {
  return `silent for ${Math.round(silentMs)} ms`;
}
