import type { Random } from "../random/random.ts";
import { CrashRecord } from "./crash_record.ts";
import type { CrashWord } from "./crash_word.ts";

/** Requests remembered: some kilobytes each hundred. Beyond that the oldest that is not held gives way. */
const MAX_REQUESTS = 4_096;
/** Time after the last crash in which a request is remembered that was ever held, in milliseconds: the longest hold, and a
 * day more. */
const HELD_REMEMBERED_MS = 2 * 24 * 3_600_000;
/** Time after the last crash in which any other is, in milliseconds: most of them only ran beside another. */
const SUSPECT_REMEMBERED_MS = 3_600_000;
/** Time after a crash in which word of it says that its upstream is likely still gone, in milliseconds. */
const NEWS_MS = 1_000;
/** Requests remembered that were served to their end; such a request is not blamed for a crash beside it. */
const MAX_SERVED = 4_096;
/** Time in which a request that was served is not blamed, in milliseconds. */
const BLAMELESS_MS = 60_000;

/** What is known against a request that is held. */
export interface CrashHold {
  /** Points against it. */
  points: number;
  /** Time until it may be sent again, in milliseconds. */
  remainingMs: number;
}

/** Told of changes of what is remembered. */
export interface CrashMemoryListener {
  /** Another host told of the crash of a start of an upstream, by its short name. */
  onCrashHeard(upstream: number): void;
  /** There is news for other hosts. */
  onNews(): void;
  /** A request is held from now on, or for longer. */
  onHeld(fingerprint: number, hold: CrashHold): void;
}

/** Remembers which requests were under way on upstreams when they crashed, whoever sent them and under which id, and holds
 * back those that do it again: each further try would cost one more upstream and all that runs on it. */
export class CrashMemory {
  private readonly records = new Map<number, CrashRecord>();
  /** By fingerprint, the monotonic milliseconds at which a request was last served to its end. */
  private readonly served = new Map<number, number>();
  private readonly untold = new Set<number>();

  private constructor(private readonly listener: CrashMemoryListener) {}

  /** Creates an empty memory.
   * @param listener Told of changes. */
  static create(listener: CrashMemoryListener): CrashMemory {
    return new CrashMemory(listener);
  }

  /** Whether there is news that other hosts were not told. */
  get hasNews(): boolean {
    return this.untold.size > 0;
  }

  /** Whether anything is remembered. */
  get isEmpty(): boolean {
    return this.records.size === 0;
  }

  /** Points that count against a request.
   * @param fingerprint Its fingerprint. */
  getPoints(fingerprint: number): number {
    return this.records.get(fingerprint)?.points ?? 0;
  }

  /** What is known against a request, where it is held.
   * @param fingerprint Its fingerprint.
   * @param now Monotonic milliseconds. */
  getHold(fingerprint: number, now: number): CrashHold | undefined {
    const record = this.records.get(fingerprint);
    if (!record || record.heldUntil <= now) return undefined;
    return { points: record.points, remainingMs: record.heldUntil - now };
  }

  /** Records that a request was under way on a start of an upstream when that crashed, unless it was served to its end
   * lately.
   * @param fingerprint Fingerprint of the request.
   * @param upstream Short name of the start.
   * @param points Points that this counts.
   * @param now Monotonic milliseconds. */
  noteCrash(
    fingerprint: number,
    upstream: number,
    points: number,
    now: number,
  ): void {
    const servedAt = this.served.get(fingerprint) ?? -Infinity;
    if (now - servedAt < BLAMELESS_MS) return;
    const crashes: CrashWord["crashes"] = [[upstream, points]];
    this.take({ fingerprint, agoMs: 0, crashes, excused: [] }, now);
  }

  /** Records that a request was served to its end, which clears it of the crashes before.
   * @param fingerprint Fingerprint of the request.
   * @param now Monotonic milliseconds. */
  noteServed(fingerprint: number, now: number): void {
    this.served.delete(fingerprint);
    this.served.set(fingerprint, now);
    if (this.served.size > MAX_SERVED) {
      this.served.delete(this.served.keys().next().value!);
    }
    if (this.records.get(fingerprint)?.excuseAll()) this.addNews(fingerprint);
  }

  /** Takes over what another host tells; what is new is told on.
   * @param words What it tells.
   * @param now Monotonic milliseconds. */
  learn(words: readonly CrashWord[], now: number): void {
    for (const word of words) {
      if (word.agoMs >= HELD_REMEMBERED_MS) continue;
      const isNew = this.take(word, now);
      if (!isNew || word.agoMs > NEWS_MS) continue;
      for (const [upstream] of word.crashes) {
        this.listener.onCrashHeard(upstream);
      }
    }
  }

  /** News for other hosts, each given once; the oldest first.
   * @param limit Most words.
   * @param now Monotonic milliseconds. */
  takeNews(limit: number, now: number): CrashWord[] {
    const taken = [...this.untold].slice(0, limit);
    for (const fingerprint of taken) this.untold.delete(fingerprint);
    return taken.flatMap((fingerprint) =>
      this.records.get(fingerprint)?.describe(now) ?? []
    );
  }

  /** Part of what is remembered, for a host that may have missed it: first the requests that crash upstreams, then those that
   * are suspected.
   * @param limit Most words.
   * @param now Monotonic milliseconds.
   * @param random Chooses where there are more. */
  getReminders(limit: number, now: number, random: Random): CrashWord[] {
    this.forget(now);
    const records = random.shuffle([...this.records.values()]);
    const guilty = records.filter((record) => record.isGuilty);
    const others = records.filter((record) => !record.isGuilty);
    return [...guilty, ...others].slice(0, limit)
      .map((record) => record.describe(now));
  }

  /** Takes over a word; returns whether it was news. */
  private take(word: CrashWord, now: number): boolean {
    const { fingerprint } = word;
    const record = this.records.get(fingerprint) ??
      CrashRecord.create(fingerprint);
    const before = record.heldUntil;
    if (!record.merge(word, now)) return false;
    this.records.delete(fingerprint);
    this.records.set(fingerprint, record);
    if (this.records.size > MAX_REQUESTS) this.dropOldest(now);
    this.addNews(fingerprint);
    if (record.heldUntil <= Math.max(before, now)) return true;
    this.listener.onHeld(fingerprint, this.getHold(fingerprint, now)!);
    return true;
  }

  private addNews(fingerprint: number): void {
    this.untold.add(fingerprint);
    this.listener.onNews();
  }

  private dropOldest(now: number): void {
    const fingerprints = [...this.records.keys()];
    const unheld = fingerprints.find((one) => !this.getHold(one, now));
    const dropped = unheld ?? fingerprints[0]!;
    this.records.delete(dropped);
    this.untold.delete(dropped);
  }

  private forget(now: number): void {
    for (const [fingerprint, record] of this.records) {
      const rememberedMs = record.isGuilty
        ? HELD_REMEMBERED_MS
        : SUSPECT_REMEMBERED_MS;
      if (now - record.lastCrashAt < rememberedMs) continue;
      this.records.delete(fingerprint);
      this.untold.delete(fingerprint);
    }
  }
}
