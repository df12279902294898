import { readClock } from "../clock/clock.ts";
import type { Route } from "../published/configuration_schema.ts";
import type { Upstream } from "../upstreams/upstream.ts";

/** Part of a route's objective after which a first answer is missed from an upstream that failed lately. */
const SUSPECT_PART = 0.5;
/** Part of a route's objective after which it is missed from any other, which may only be busy with a long prompt. */
const SOUND_PART = 1;
/** Part of a route's objective after which a first answer is overdue, whoever else the upstream answers: single answers get
 * lost, and what is left lets a request that may run again still be in time elsewhere. */
const OVERDUE_PART = 0.6;
/** Least time after which a first answer is missed, in milliseconds: some times what a sound upstream takes for its
 * shortest work. */
const LEAST_SILENCE_MS = 60;
/** Part of the longest pause in time after which the next event of a stream is missed. */
const STALL_PART = 1.5;
/** Longest pause where a route names none, in milliseconds. */
const DEFAULT_GAP_MS = 1_000;

/** One silence of an attempt. */
export interface Silence {
  /** Its length in milliseconds. */
  silentMs: number;
  /** Whether the upstream is likely stuck: it failed lately, or was silent towards all requests of this process. */
  isLikelyStuck: boolean;
}

/** Told of an attempt's silences. */
export interface SilenceListener {
  /** The first answer is overdue, which says little of the upstream; told once at most. */
  onOverdue(silence: Silence): void;
  /** The upstream is silent; told again where that goes on as long. */
  onSilence(silence: Silence): void;
}

/** Notices when an attempt has been silent for too long. */
export class SilenceWatch {
  private timer: NodeJS.Timeout | undefined;
  private armedForMs = 0;
  private isClosed = false;
  private heardAt = readClock();
  private overdueTimer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly upstream: Upstream,
    private readonly route: Route,
    private readonly listener: SilenceListener,
  ) {}

  /** Starts to watch an attempt that is being sent.
   * @param upstream Where it is sent.
   * @param route The request's route.
   * @param listener Told of silences. */
  static create(
    upstream: Upstream,
    route: Route,
    listener: SilenceListener,
  ): SilenceWatch {
    const watch = new SilenceWatch(upstream, route, listener);
    const part = upstream.health.isSuspect ? SUSPECT_PART : SOUND_PART;
    watch.arm(Math.max(LEAST_SILENCE_MS, route.objectiveMs * part));
    watch.overdueTimer = setTimeout(
      () => listener.onOverdue(watch.describe()),
      Math.max(LEAST_SILENCE_MS, route.objectiveMs * OVERDUE_PART),
    );
    return watch;
  }

  /** Notes that bytes of the answer came. */
  noteBytes(): void {
    this.heardAt = readClock();
    clearTimeout(this.overdueTimer);
    this.arm((this.route.gapObjectiveMs ?? DEFAULT_GAP_MS) * STALL_PART);
  }

  /** Stops watching. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
    clearTimeout(this.overdueTimer);
  }

  /** Arms the timer; with the same time again it is only set back, for this is done with each event of a stream. */
  private arm(milliseconds: number): void {
    if (this.isClosed) return;
    if (this.timer && milliseconds === this.armedForMs) {
      this.timer.refresh();
      return;
    }
    clearTimeout(this.timer);
    this.armedForMs = milliseconds;
    this.timer = setTimeout(() => this.tell(), milliseconds);
  }

  private tell(): void {
    const silence = this.describe();
    this.timer?.refresh();
    this.listener.onSilence(silence);
  }

  private describe(): Silence {
    const isLikelyStuck = this.upstream.health.isSuspect ||
      this.upstream.heardAt <= this.heardAt;
    return { silentMs: readClock() - this.heardAt, isLikelyStuck };
  }
}

/** Writes the length of a silence for the log and as the reason of the next attempt.
 * @param silentMs Its length in milliseconds. */
export function describeSilence(silentMs: number): string {
  return `silent for ${Math.round(silentMs)} ms`;
}
