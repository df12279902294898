import type { Random } from "../random/random.ts";
import { CrashRecord, HOLD_THRESHOLD_POINTS } from "./crash_record.ts";
import type { CrashReport } from "./crash_report.ts";

/** Maximum number of records; a hundred of them take some kilobytes. Beyond it, the oldest one that is not held is
 * evicted first. */
const MAX_RECORDS = 4_096;
/** Minimum score of a prompt part whose records are not evicted. */
const KEPT_SUSPICION = 2;
/** Retention of a record that meets the hold threshold, in milliseconds after its last crash: the longest hold plus
 * one day. */
const HELD_RETENTION_MS = 2 * 24 * 3_600_000;
/** Retention of any other record, in milliseconds after its last crash: most of these requests did not cause the
 * crash but only ran on the upstream at the same time. */
const DEFAULT_RETENTION_MS = 3_600_000;
/** Age up to which a reported crash is checked, in milliseconds, because its upstream is likely still down. */
const RECENT_CRASH_MS = 1_000;
/** Maximum number of completed requests that are kept, so that no crash soon afterwards is attributed to them. */
const MAX_COMPLETIONS = 4_096;
/** Time after the completion of a request in which no crash is attributed to it, in milliseconds. */
const COMPLETION_GRACE_MS = 60_000;

/** State of a request that is held, that is, refused for a while because it crashes upstreams. */
export interface CrashHold {
  /** Points of the request. */
  points: number;
  /** Time until the request may be sent again, in milliseconds. */
  remainingMs: number;
}

/** Callbacks of `CrashStore`. */
export interface CrashStoreListener {
  /** Called with the hash of each instance that another host newly reports to have crashed. */
  onCrashReported(instanceHash: number): void;
  /** Called when a report becomes pending for other hosts. */
  onPendingReports(): void;
  /** Called when a request is held from now on, or for longer. */
  onHeld(fingerprint: number, hold: CrashHold): void;
  /** Called when a crash of a request with shared prompt parts becomes known. */
  onPromptCrash(parts: readonly number[]): void;
  /** Returns how much the prompt parts of a request are suspected to crash upstreams: the highest of their scores. */
  getSuspicion(parts: readonly number[]): number;
  /** Whether a held prompt part explains the crash of an instance, so that it does not count against whole requests. */
  isExplained(instanceHash: number): boolean;
  /** Whether some of the prompt parts of a request are held, so that the hold depends on its record. */
  isHeld(parts: readonly number[]): boolean;
}

/** Records which requests were in flight on upstreams when they crashed, regardless of sender and request id, and
 * holds those for which that is repeated: each further attempt could crash another upstream with all requests on it. */
export class CrashStore {
  private readonly records = new Map<number, CrashRecord>();
  /** Monotonic milliseconds at which each request last completed, by fingerprint; the least recent first. */
  private readonly completedAt = new Map<number, number>();
  /** Requests whose reports were not yet sent to other hosts. */
  private readonly pending = new Set<number>();

  private constructor(private readonly listener: CrashStoreListener) {}

  /** Creates an empty store.
   * @param listener Callbacks. */
  static create(listener: CrashStoreListener): CrashStore {
    return new CrashStore(listener);
  }

  /** Whether any report was not yet sent to other hosts. */
  get hasPendingReports(): boolean {
    return this.pending.size > 0;
  }

  /** Whether the store holds no records. */
  get isEmpty(): boolean {
    return this.records.size === 0;
  }

  /** Returns the records of all requests with shared prompt parts. */
  getPromptRecords(): CrashRecord[] {
    return [...this.records.values()].filter(({ parts }) => parts.length > 0);
  }

  /** Returns the points of a request.
   * @param fingerprint Fingerprint of the request. */
  getPoints(fingerprint: number): number {
    return this.records.get(fingerprint)?.getPoints((instanceHash) =>
      this.listener.isExplained(instanceHash)
    ) ?? 0;
  }

  /** Returns the hold of a request, or undefined if it is not held.
   * @param fingerprint Fingerprint of the request.
   * @param now Monotonic milliseconds. */
  getHold(fingerprint: number, now: number): CrashHold | undefined {
    const record = this.records.get(fingerprint);
    if (!record || record.heldUntil <= now) return undefined;
    const points = this.getPoints(fingerprint);
    return points < HOLD_THRESHOLD_POINTS
      ? undefined
      : { points, remainingMs: record.heldUntil - now };
  }

  /** Records that a request was in flight on an instance when that crashed, unless the request completed recently.
   * @param fingerprint Fingerprint of the request.
   * @param instanceHash Hash of the instance.
   * @param points Points that the request is given.
   * @param now Monotonic milliseconds.
   * @param parts Hashes of the prompt parts that the request shares with others. */
  recordCrash(
    fingerprint: number,
    instanceHash: number,
    points: number,
    now: number,
    parts: readonly number[] = [],
  ): void {
    const lastCompletedAt = this.completedAt.get(fingerprint) ?? -Infinity;
    if (now - lastCompletedAt < COMPLETION_GRACE_MS) return;
    const crashes: CrashReport["crashes"] = [[instanceHash, points]];
    this.mergeReport(
      { fingerprint, agoMs: 0, crashes, excused: [], parts: [...parts] },
      now,
    );
  }

  /** Records that a request completed, which excuses its earlier crashes.
   * @param fingerprint Fingerprint of the request.
   * @param now Monotonic milliseconds. */
  recordCompletion(fingerprint: number, now: number): void {
    this.completedAt.delete(fingerprint);
    this.completedAt.set(fingerprint, now);
    if (this.completedAt.size > MAX_COMPLETIONS) {
      this.completedAt.delete(this.completedAt.keys().next().value!);
    }
    if (this.records.get(fingerprint)?.excuseAll()) this.enqueue(fingerprint);
  }

  /** Merges reports from another host; those that contain anything new become pending, so that they are forwarded.
   * @param reports The reports.
   * @param now Monotonic milliseconds. */
  mergeReports(reports: readonly CrashReport[], now: number): void {
    for (const report of reports) {
      if (report.agoMs >= HELD_RETENTION_MS) continue;
      const isNew = this.mergeReport(report, now);
      if (!isNew || report.agoMs > RECENT_CRASH_MS) continue;
      for (const [instanceHash] of report.crashes) {
        this.listener.onCrashReported(instanceHash);
      }
    }
  }

  /** Returns the pending reports, those of the most suspected parts and then the oldest first, which are then no longer
   * pending.
   * @param limit Maximum number of reports.
   * @param now Monotonic milliseconds. */
  takePendingReports(limit: number, now: number): CrashReport[] {
    const suspicions = [...this.pending].map((fingerprint) => ({
      fingerprint,
      suspicion: this.getSuspicion(fingerprint),
    }));
    const fingerprints = suspicions.sort((a, b) => b.suspicion - a.suspicion)
      .slice(0, limit).map(({ fingerprint }) => fingerprint);
    for (const fingerprint of fingerprints) this.pending.delete(fingerprint);
    return fingerprints.flatMap((fingerprint) =>
      this.records.get(fingerprint)?.toReport(now) ?? []
    );
  }

  /** Returns reports of randomly chosen records, for a host that may have missed them. Records on which a hold depends
   * come before all others.
   * @param limit Maximum number of reports.
   * @param now Monotonic milliseconds.
   * @param random Source of the random choice. */
  sampleReports(limit: number, now: number, random: Random): CrashReport[] {
    this.removeExpired(now);
    const records = random.shuffle([...this.records.values()]);
    const above = records.filter((record) => this.isHeld(record));
    const below = records.filter((record) => !this.isHeld(record));
    return [...above, ...below].slice(0, limit)
      .map((record) => record.toReport(now));
  }

  /** Merges a report; returns whether it contained anything new. */
  private mergeReport(report: CrashReport, now: number): boolean {
    const { fingerprint, parts } = report;
    const record = this.records.get(fingerprint) ??
      CrashRecord.create(fingerprint, parts);
    const before = record.heldUntil;
    if (!record.merge(report, now)) return false;
    this.records.delete(fingerprint);
    this.records.set(fingerprint, record);
    if (this.records.size > MAX_RECORDS) this.evictOldest(now);
    this.enqueue(fingerprint);
    if (parts.length > 0) this.listener.onPromptCrash(parts);
    if (record.heldUntil <= Math.max(before, now)) return true;
    const hold = this.getHold(fingerprint, now);
    if (hold) this.listener.onHeld(fingerprint, hold);
    return true;
  }

  /** Whether a hold depends on a record; it may be over. */
  private isHeld(record: CrashRecord): boolean {
    return record.meetsHoldThreshold || this.listener.isHeld(record.parts);
  }

  /** Returns how much the prompt parts of a request are suspected; infinity if the request or a part is held. */
  private getSuspicion(fingerprint: number): number {
    const record = this.records.get(fingerprint);
    if (!record) return 0;
    return this.isHeld(record)
      ? Infinity
      : this.listener.getSuspicion(record.parts);
  }

  private enqueue(fingerprint: number): void {
    this.pending.add(fingerprint);
    this.listener.onPendingReports();
  }

  private evictOldest(now: number): void {
    const fingerprints = [...this.records.keys()];
    const unheld = fingerprints.find((fingerprint) =>
      !this.getHold(fingerprint, now) &&
      this.getSuspicion(fingerprint) < KEPT_SUSPICION
    );
    const evicted = unheld ?? fingerprints[0]!;
    this.records.delete(evicted);
    this.pending.delete(evicted);
  }

  private removeExpired(now: number): void {
    for (const [fingerprint, record] of this.records) {
      const retentionMs = this.isHeld(record)
        ? HELD_RETENTION_MS
        : DEFAULT_RETENTION_MS;
      if (now - record.lastCrashAt < retentionMs) continue;
      this.records.delete(fingerprint);
      this.pending.delete(fingerprint);
    }
  }
}
