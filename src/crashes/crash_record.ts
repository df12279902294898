import type { CrashPoints, CrashWord } from "./crash_word.ts";

/** Crashes of one request that are kept: more than it takes to hold the request for the longest time. */
const MAX_CRASHES = 8;
/** By the points against a request, the time from the last crash in which it is not sent, in milliseconds. Two crashes
 * before anything was answered may be chance, so that the request is tried again soon; three are not, and it is tried
 * only for a new version of the upstreams may bear it. */
const HOLDS_MS: readonly (readonly [points: number, holdMs: number])[] = [
  [4, 30_000],
  [5, 300_000],
  [6, 3_600_000],
  [7, 6 * 3_600_000],
  [8, 24 * 3_600_000],
];
/** Points that a crash counts for a request of which nothing was answered, and for one that had been answered in part, which
 * had run for a while without harm. */
export const CRASH_POINTS = { unanswered: 2, answeredInPart: 1 } as const;
/** Points from which a request is held. */
export const HOLDING_POINTS = HOLDS_MS[0]![0];

/** What is remembered of one request that was under way on upstreams when they crashed. Merging two records takes the union
 * of what they say, so that hosts come to the same whatever the order in which they hear. */
export class CrashRecord {
  private readonly crashes = new Map<number, number>();
  private readonly excused = new Set<number>();
  private crashedAt = -Infinity;

  private constructor(private readonly fingerprint: number) {}

  /** Creates a record without crashes.
   * @param fingerprint Fingerprint of the request. */
  static create(fingerprint: number): CrashRecord {
    return new CrashRecord(fingerprint);
  }

  /** Points that count against the request. */
  get points(): number {
    return [...this.crashes].reduce(
      (sum, [upstream, points]) =>
        this.excused.has(upstream) ? sum : sum + points,
      0,
    );
  }

  /** Whether the crashes are more than chance. */
  get isGuilty(): boolean {
    return this.points >= HOLDING_POINTS;
  }

  /** Monotonic milliseconds of the last crash. */
  get lastCrashAt(): number {
    return this.crashedAt;
  }

  /** Monotonic milliseconds up to which the request is not sent; in the past where it is. */
  get heldUntil(): number {
    const { points } = this;
    const holdMs = HOLDS_MS.findLast(([least]) => points >= least)?.[1];
    return holdMs === undefined ? -Infinity : this.crashedAt + holdMs;
  }

  /** Takes over what a word says; returns whether any of it was new.
   * @param word The word, of the same request.
   * @param now Monotonic milliseconds. */
  merge(word: CrashWord, now: number): boolean {
    const crashes = word.crashes.map((crash) => this.addCrash(crash));
    const excuses = word.excused.map((upstream) => this.excuse(upstream));
    const hasCrashNews = crashes.includes(true);
    // Only for news: a word grows younger on each way, and what hosts tell each other to and fro would never age.
    if (hasCrashNews) {
      this.crashedAt = Math.max(this.crashedAt, now - word.agoMs);
    }
    return hasCrashNews || excuses.includes(true);
  }

  /** Excuses all crashes, for the request was served to its end; returns whether any had counted. */
  excuseAll(): boolean {
    return [...this.crashes.keys()].map((upstream) => this.excuse(upstream))
      .includes(true);
  }

  /** What another host is told.
   * @param now Monotonic milliseconds. */
  describe(now: number): CrashWord {
    return {
      fingerprint: this.fingerprint,
      agoMs: Math.max(0, now - this.crashedAt),
      crashes: [...this.crashes],
      excused: [...this.excused],
    };
  }

  private addCrash([upstream, points]: CrashPoints): boolean {
    const known = this.crashes.get(upstream) ?? 0;
    if (known >= points) return false;
    if (known === 0 && this.crashes.size >= MAX_CRASHES) return false;
    this.crashes.set(upstream, points);
    return true;
  }

  private excuse(upstream: number): boolean {
    if (this.excused.has(upstream) || this.excused.size >= MAX_CRASHES) {
      return false;
    }
    this.excused.add(upstream);
    return true;
  }
}
