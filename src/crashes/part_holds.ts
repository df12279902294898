import type { CancelTimer, Timeline } from "../clock/timeline.ts";
import { formatFingerprint } from "../hashing/request_fingerprint.ts";
import type { Logger } from "../logging/logger.ts";
import {
  analyzeCrashes,
  type CrashAnalysis,
  type CrashCause,
  isCausedBy,
} from "./analyze_crashes.ts";
import type { CompletionCounts } from "./completion_counts.ts";
import type { CrashRecord } from "./crash_record.ts";
import { createHoldKey, createPartHold, type PartHold } from "./part_hold.ts";

/** Time in which changes are collected before the crashes are analyzed, in milliseconds. */
const ANALYSIS_DELAY_MS = 50;
/** Time for which a part must have been suspected until it may be held, in milliseconds: other hosts report completions
 * of its prompts within it. */
const SETTLING_MS = 500;
/** Score from which a request with a part that has just been interrupted is not sent again: that of a part with one
 * crash before, of which no completion is known. */
const RETRY_LIMIT_SCORE = 1;
/** Time after its start for which a host counts as one that has started lately, in milliseconds. */
const STARTING_MS = 10_000;
/** Maximum number of causes of other hosts that are remembered. */
const MAX_CONFIRMED = 256;

/** Maximum number of requests that the log line of a hold names. */
const MAX_LOGGED = 8;

/** Analysis of no crashes. */
const NOTHING_KNOWN: CrashAnalysis = {
  causes: [],
  scores: new Map(),
  explained: new Set(),
  suspects: new Set(),
};

/** Dependencies and callbacks of {@link PartHolds}. */
export interface PartHoldsOptions {
  logger: Logger;
  timeline: Timeline;
  completions: CompletionCounts;
  /** Returns the records of the prompts that were in flight on crashed upstreams. */
  getRecords: () => readonly CrashRecord[];
  /** Called when prompts with all parts of a cause are held from now on, or for longer. */
  onHeld: (cause: CrashCause) => void;
  /** Called when completions of prompts may have to be announced to other hosts. */
  onAnnouncements: () => void;
}

/** Holds the prompt parts that likely crash upstreams, by the crashes and completions of all prompts with them. */
export class PartHolds {
  private analysis = NOTHING_KNOWN;
  private holds: readonly PartHold[] = [];
  /** Monotonic milliseconds since which this host has suspected each part. */
  private readonly suspectedSince = new Map<number, number>();
  /** Keys of the causes that other hosts hold. */
  private readonly confirmed = new Set<string>();
  private readonly createdAt: number;
  private cancelAnalysis: CancelTimer | undefined;
  private cancelSettling: CancelTimer | undefined;

  private constructor(private readonly options: PartHoldsOptions) {
    this.createdAt = options.timeline.read();
  }

  /** Creates an object without holds.
   * @param options Its dependencies and callbacks. */
  static create(options: PartHoldsOptions): PartHolds {
    return new PartHolds(options);
  }

  /** Returns the hold of a prompt; undefined if it is not held.
   * @param parts Hashes of the parts that it shares with others. */
  find(parts: readonly number[]): PartHold | undefined {
    return this.holds.find(({ cause }) => isCausedBy(parts, cause));
  }

  /** Parts of the held causes, one list each. */
  get heldParts(): (readonly number[])[] {
    return this.holds.map(({ cause }) => cause.parts);
  }

  /** Keys of the holds. */
  get heldKeys(): ReadonlySet<string> {
    return new Set(this.holds.map(({ key }) => key));
  }

  /** Records that another host holds parts, so that they need no time to settle here.
   * @param parts Hashes of the parts. */
  confirm(parts: readonly number[]): void {
    const key = createHoldKey(parts);
    if (this.confirmed.has(key)) return;
    if (this.confirmed.size >= MAX_CONFIRMED) this.confirmed.clear();
    this.confirmed.add(key);
    this.scheduleAnalysis();
  }

  /** Whether a held part explains the crash of an instance.
   * @param instanceHash Hash of the instance. */
  explains(instanceHash: number): boolean {
    return this.holds.length > 0 && this.analysis.explained.has(instanceHash);
  }

  /** Returns the highest score of the parts of a prompt, without the crashes that a cause explains.
   * @param parts Hashes of the parts. */
  getSuspicion(parts: readonly number[]): number {
    const { scores } = this.analysis;
    return Math.max(0, ...parts.map((part) => scores.get(part) ?? 0));
  }

  /** Whether a prompt that was just interrupted, maybe by a crash, may be sent to another upstream. A host that has
   * started lately may not know of earlier crashes, so that it only retries prompts whose parts have completed.
   * @param parts Hashes of its parts. */
  mayRetryInterrupted(parts: readonly number[]): boolean {
    if (this.getSuspicion(parts) >= RETRY_LIMIT_SCORE) return false;
    const { timeline, completions } = this.options;
    return timeline.read() - this.createdAt >= STARTING_MS ||
      parts.every((part) => completions.hasCompleted(part));
  }

  /** Records that a prompt completed, or that its response has begun.
   * @param parts Hashes of its parts. */
  recordCompletion(parts: readonly number[]): void {
    const { timeline, completions } = this.options;
    completions.record(parts, timeline.read());
    const { suspects } = this.analysis;
    if (parts.some((part) => suspects.has(part))) this.scheduleAnalysis();
  }

  /** Analyzes the crashes soon, because more is known of them. */
  scheduleAnalysis(): void {
    this.cancelAnalysis ??= this.options.timeline.after(
      ANALYSIS_DELAY_MS,
      () => {
        this.cancelAnalysis = undefined;
        this.analyze();
      },
    );
  }

  /** Cancels what is scheduled. */
  close(): void {
    this.cancelAnalysis?.();
    this.cancelSettling?.();
  }

  private analyze(): void {
    const { completions, getRecords } = this.options;
    const records = getRecords();
    this.analysis = analyzeCrashes(
      records.map(({ parts, crashPoints, lastCrashAt }) => ({
        parts,
        crashes: crashPoints,
        lastCrashAt,
      })),
      (part) => completions.getCount(part),
    );
    const parts = new Set(records.flatMap((record) => record.parts));
    completions.retain((part) => parts.has(part));
    this.recordSuspects();
    this.announceCompletions();
    this.updateHolds(records);
  }

  private recordSuspects(): void {
    const { suspects } = this.analysis;
    const now = this.options.timeline.read();
    for (const part of this.suspectedSince.keys()) {
      if (!suspects.has(part)) this.suspectedSince.delete(part);
    }
    for (const part of suspects) {
      if (!this.suspectedSince.has(part)) this.suspectedSince.set(part, now);
    }
  }

  private announceCompletions(): void {
    const { completions, onAnnouncements } = this.options;
    for (const part of this.analysis.suspects) completions.announce(part);
    if (completions.hasPending) onAnnouncements();
  }

  private updateHolds(records: readonly CrashRecord[]): void {
    const now = this.options.timeline.read();
    const before = new Map(this.holds.map((hold) => [hold.key, hold]));
    this.holds = this.analysis.causes.flatMap((cause) => {
      const settledAt = this.getSettledAt(cause, now);
      if (now >= settledAt) {
        return [createPartHold(cause, findCrashTimes(records, cause))];
      }
      this.analyzeAt(settledAt);
      return [];
    });
    for (const hold of this.holds) {
      const known = before.get(hold.key);
      before.delete(hold.key);
      if (!known || known.heldUntil < hold.heldUntil) {
        this.begin(hold, records, now);
      }
    }
    for (const { key } of before.values()) {
      this.options.logger.warn({ parts: key }, "part_released");
    }
  }

  /** Returns the monotonic milliseconds at which enough time for reports of completions has passed. */
  private getSettledAt({ parts }: CrashCause, now: number): number {
    if (this.confirmed.has(createHoldKey(parts))) return now;
    const since = parts.map((part) => this.suspectedSince.get(part) ?? now);
    return Math.max(...since) + SETTLING_MS;
  }

  private begin(
    { key, cause, heldUntil }: PartHold,
    records: readonly CrashRecord[],
    now: number,
  ): void {
    const { logger, onHeld } = this.options;
    const { crashes, completions } = cause;
    const fingerprints = findRecords(records, cause).slice(0, MAX_LOGGED)
      .map(({ fingerprint }) => formatFingerprint(fingerprint)).join(",");
    const holdMs = Math.round(heldUntil - now);
    logger.warn(
      { parts: key, crashes, completions, fingerprints, holdMs },
      "part_held",
    );
    onHeld(cause);
  }

  private analyzeAt(at: number): void {
    const { timeline } = this.options;
    this.cancelSettling?.();
    this.cancelSettling = timeline.after(
      at - timeline.read(),
      () => this.analyze(),
    );
  }
}

/** Returns the records of the prompts with a cause. */
function findRecords(
  records: readonly CrashRecord[],
  cause: CrashCause,
): CrashRecord[] {
  return records.filter(({ parts }) => isCausedBy(parts, cause));
}

/** Returns the monotonic milliseconds of the crashes of a cause, in ascending order. */
function findCrashTimes(
  records: readonly CrashRecord[],
  cause: CrashCause,
): number[] {
  return findRecords(records, cause).map(({ lastCrashAt }) => lastCrashAt)
    .sort((a, b) => a - b);
}
