import type { CrashPoints, CrashReport } from "./crash_report.ts";

/** Maximum number of crashes that are kept for one request: enough to hold it for the longest time. */
const MAX_CRASHES = 8;
/** Duration of the hold after the last crash, in milliseconds, by the minimum of points that it needs. Two crashes
 * before any part of the response may be coincidence, so the request may soon be sent again. Three are not, and it may
 * be sent again only because a new version of the upstreams might no longer crash on it. */
const HOLD_TIERS: readonly (readonly [points: number, holdMs: number])[] = [
  [4, 30_000],
  [5, 300_000],
  [6, 3_600_000],
  [7, 6 * 3_600_000],
  [8, 24 * 3_600_000],
];
/** Points that a request is given for a crash: fewer if part of its response had been received, since it had then run
 * for a while without a crash. */
export const CRASH_POINTS = { noResponse: 2, partialResponse: 1 } as const;
/** Minimum of points for which a request is held. */
export const HOLD_THRESHOLD_POINTS = HOLD_TIERS[0]![0];

/** The recorded crashes of one request that was in flight on upstreams when they crashed. Merging takes the union of
 * crashes and excuses, so that hosts converge to the same points regardless of the order in which they receive
 * reports. */
export class CrashRecord {
  /** Points of each crash, by the hash of the instance. */
  private readonly crashes = new Map<number, number>();
  /** Hashes of the instances whose crash no longer counts. */
  private readonly excused = new Set<number>();
  private crashedAt = -Infinity;

  private constructor(
    /** Fingerprint of the request. */
    readonly fingerprint: number,
    /** Hashes of the prompt parts that the request shares with others. */
    readonly parts: readonly number[],
  ) {}

  /** Creates a record without crashes.
   * @param fingerprint Fingerprint of the request.
   * @param parts Hashes of the prompt parts that it shares with others. */
  static create(fingerprint: number, parts: readonly number[]): CrashRecord {
    return new CrashRecord(fingerprint, parts);
  }

  /** All crashes, also those that are excused. */
  get crashPoints(): CrashPoints[] {
    return [...this.crashes];
  }

  /** Sum of the points of all crashes that are not excused. */
  get points(): number {
    return this.getPoints(() => false);
  }

  /** Returns the sum of the points of the crashes that are neither excused nor explained by something else.
   * @param isExplained Whether the crash of an instance is explained. */
  getPoints(isExplained: (instanceHash: number) => boolean): number {
    return [...this.crashes].filter(([instanceHash]) =>
      !this.excused.has(instanceHash) && !isExplained(instanceHash)
    ).reduce((sum, [, points]) => sum + points, 0);
  }

  /** Whether the points meet the threshold for a hold, as the crashes are more than chance; the hold may be over. */
  get meetsHoldThreshold(): boolean {
    return this.points >= HOLD_THRESHOLD_POINTS;
  }

  /** Monotonic milliseconds of the last crash. */
  get lastCrashAt(): number {
    return this.crashedAt;
  }

  /** Monotonic milliseconds until which the request is held; in the past if it may be sent. */
  get heldUntil(): number {
    const { points } = this;
    const holdMs = HOLD_TIERS.findLast(([minimum]) => points >= minimum)?.[1];
    return holdMs === undefined ? -Infinity : this.crashedAt + holdMs;
  }

  /** Merges a report; returns whether it contained anything new.
   * @param report Report about the same request.
   * @param now Monotonic milliseconds. */
  merge(report: CrashReport, now: number): boolean {
    const crashes = report.crashes.map((crash) => this.addCrash(crash));
    const excuses = report.excused.map((instanceHash) =>
      this.excuse(instanceHash)
    );
    const hasCrashNews = crashes.includes(true);
    // Only for new crashes: `agoMs` leaves out the transit time, so a report gets younger on each hop, and crashes that
    // hosts report back and forth would never age.
    if (hasCrashNews) {
      this.crashedAt = Math.max(this.crashedAt, now - report.agoMs);
    }
    return hasCrashNews || excuses.includes(true);
  }

  /** Excuses all crashes, because the request completed after them; returns whether any had counted. */
  excuseAll(): boolean {
    return [...this.crashes.keys()].map((instanceHash) =>
      this.excuse(instanceHash)
    )
      .includes(true);
  }

  /** Returns the report of this record for other hosts.
   * @param now Monotonic milliseconds. */
  toReport(now: number): CrashReport {
    return {
      fingerprint: this.fingerprint,
      agoMs: Math.max(0, now - this.crashedAt),
      crashes: [...this.crashes],
      excused: [...this.excused],
      parts: [...this.parts],
    };
  }

  private addCrash([instanceHash, points]: CrashPoints): boolean {
    const recordedPoints = this.crashes.get(instanceHash) ?? 0;
    if (recordedPoints >= points) return false;
    if (recordedPoints === 0 && this.crashes.size >= MAX_CRASHES) return false;
    this.crashes.set(instanceHash, points);
    return true;
  }

  private excuse(instanceHash: number): boolean {
    if (this.excused.has(instanceHash) || this.excused.size >= MAX_CRASHES) {
      return false;
    }
    this.excused.add(instanceHash);
    return true;
  }
}
