import { hashText } from "../hashing/hasher.ts";

/** Time for which an engine is assumed to keep a prompt part cached, in milliseconds. Recomputing a part matters only
 * if it was used within about ten seconds, and the engines' caches retain parts several times as long. */
const CACHE_RETENTION_MS = 30_000;
/** Minimum time between two updates about the same part and engine while the part remains in use, in milliseconds. */
const REPEAT_INTERVAL_MS = 5_000;
/** Maximum number of indexed parts; the least recently used one is evicted. */
const MAX_PARTS = 50_000;
/** Maximum number of updates sent to other hosts at a time, so that they fit into one datagram. */
const MAX_UPDATES_PER_DATAGRAM = 80;
/** Prefill time of a prompt token, in milliseconds; the engines in use process about 48 tokens per millisecond. */
export const PREFILL_MS_PER_TOKEN = 1 / 48;

/** Update that an engine was sent a prompt part: hashes of the part and of the engine instance, and the tokens that the
 * engine had to prefill for it, 0 if it had the part cached or fetched it. */
export type PrefixUpdate = [
  part: number,
  engine: number,
  prefillTokens: number,
];

/** An engine that has a prompt part cached: hash of the engine instance, and milliseconds since it was last sent the
 * part. */
export type PrefixHolder = [engine: number, agoMs: number];

/** A part of a prompt. */
export interface HashedPromptPart {
  /** Hash of the part's id. */
  name: number;
  tokens: number;
}

/** Estimates the prefill time of prompt parts, in milliseconds.
 * @param parts The parts. */
export function estimatePrefillMs(parts: readonly HashedPromptPart[]): number {
  return parts.reduce(
    (sum, { tokens }) => sum + tokens * PREFILL_MS_PER_TOKEN,
    0,
  );
}

/** Index of the engines that have prompt parts cached, derived from the requests that this and other hosts sent to
 * them. */
export class PrefixIndex {
  /** By part, the engines that were sent it, with the monotonic milliseconds of the last request. */
  private readonly engines = new Map<number, Map<number, number>>();
  /** By engine, the monotonic milliseconds at which it will have prefilled the parts that it was sent. */
  private readonly prefillEndsAt = new Map<number, number>();
  /** By part and engine, the monotonic milliseconds at which an update was last queued for other hosts. */
  private readonly announcedAt = new Map<number, Map<number, number>>();
  private pendingUpdates: PrefixUpdate[] = [];
  private isMarkedComplete = false;
  private prefillMsPerToken = PREFILL_MS_PER_TOKEN;

  private constructor() {}

  /** Creates an empty index. */
  static create(): PrefixIndex {
    return new PrefixIndex();
  }

  /** Returns the hash of a prompt part.
   * @param partId Id of the part. */
  static hashPartId(partId: string): number {
    return hashText(partId);
  }

  /** Whether the index is complete, rather than covering only the time since a start. */
  get isComplete(): boolean {
    return this.isMarkedComplete;
  }

  /** Whether updates are queued for other hosts. If many arrive at once, they need more than one datagram. */
  get hasPendingUpdates(): boolean {
    return this.pendingUpdates.length > 0;
  }

  /** Records that this host sends prompt parts to an engine.
   * @param parts The parts.
   * @param engine Hash of the engine instance.
   * @param isFetched Whether the engine fetches the parts that it lacks from another engine.
   * @param now Monotonic milliseconds.
   * @param announced The parts of which other hosts are told; all by default. */
  recordSent(
    parts: readonly HashedPromptPart[],
    engine: number,
    isFetched: boolean,
    now: number,
    announced = parts,
  ): void {
    for (const part of parts) {
      const { name, tokens } = part;
      const isPrefilled = !isFetched && !this.isCached(name, engine, now);
      const prefillTokens = isPrefilled ? tokens : 0;
      this.applyUpdate([name, engine, prefillTokens], now);
      if (!announced.includes(part)) continue;
      this.enqueueUpdate([name, engine, prefillTokens], now);
    }
  }

  /** Returns the time until an engine has prefilled the shared parts that it was sent, in milliseconds.
   * @param engine Hash of the engine instance.
   * @param now Monotonic milliseconds. */
  getPrefillBacklogMs(engine: number, now: number): number {
    return Math.max(0, (this.prefillEndsAt.get(engine) ?? now) - now);
  }

  /** Sets the learned prefill time of a token.
   * @param milliseconds The time in milliseconds. */
  setPrefillMsPerToken(milliseconds: number): void {
    this.prefillMsPerToken = milliseconds;
  }

  /** Marks the index as complete. */
  markComplete(): void {
    this.isMarkedComplete = true;
  }

  /** Applies updates from another host.
   * @param updates The updates.
   * @param now Monotonic milliseconds. */
  applyUpdates(updates: readonly PrefixUpdate[], now: number): void {
    for (const update of updates) this.applyUpdate(update, now);
  }

  /** Removes and returns the queued updates that fit into one datagram. */
  takeUpdates(): PrefixUpdate[] {
    return this.pendingUpdates.splice(0, MAX_UPDATES_PER_DATAGRAM);
  }

  /** Removes and returns all queued updates. */
  takeAllUpdates(): PrefixUpdate[] {
    return this.pendingUpdates.splice(0);
  }

  /** Returns updates about the most recently used parts, for a host that has just started.
   * @param limit Maximum number of updates.
   * @param now Monotonic milliseconds. */
  getRecentUpdates(limit: number, now: number): PrefixUpdate[] {
    const updates: PrefixUpdate[] = [];
    for (const [part, holders] of [...this.engines].reverse()) {
      for (const [engine, usedAt] of holders) {
        if (now - usedAt < CACHE_RETENTION_MS) updates.push([part, engine, 0]);
      }
      if (updates.length >= limit) break;
    }
    return updates.slice(0, limit);
  }

  /** Returns whether an engine is assumed to have a prompt part cached.
   * @param part Hash of the part.
   * @param engine Hash of the engine instance.
   * @param now Monotonic milliseconds. */
  isCached(part: number, engine: number, now: number): boolean {
    const usedAt = this.engines.get(part)?.get(engine);
    return usedAt !== undefined && now - usedAt < CACHE_RETENTION_MS;
  }

  /** Returns whether any engine is assumed to have a prompt part cached.
   * @param part Hash of the part.
   * @param now Monotonic milliseconds. */
  isCachedAnywhere(part: number, now: number): boolean {
    return this.getHolders(part, now).length > 0;
  }

  /** Returns the engines that are assumed to have a prompt part cached.
   * @param part Hash of the part.
   * @param now Monotonic milliseconds. */
  getHolders(part: number, now: number): PrefixHolder[] {
    return [...this.engines.get(part) ?? []].filter(([, usedAt]) =>
      now - usedAt < CACHE_RETENTION_MS
    ).map(([engine, usedAt]) => [engine, Math.round(now - usedAt)]);
  }

  /** Merges the engines that another host reported for a prompt part. More recent local entries are kept.
   * @param part Hash of the part.
   * @param holders Engines that the other host reported.
   * @param now Monotonic milliseconds. */
  mergeHolders(
    part: number,
    holders: readonly PrefixHolder[],
    now: number,
  ): void {
    for (const [engine, agoMs] of holders) {
      const usedAt = now - Math.max(0, agoMs);
      const knownUsedAt = this.engines.get(part)?.get(engine) ?? -Infinity;
      if (usedAt > knownUsedAt) this.applyUpdate([part, engine, 0], usedAt);
    }
  }

  private applyUpdate(
    [part, engine, prefillTokens]: PrefixUpdate,
    now: number,
  ): void {
    if (prefillTokens > 0) {
      const startsAt = Math.max(now, this.prefillEndsAt.get(engine) ?? now);
      this.prefillEndsAt.set(
        engine,
        startsAt + prefillTokens * this.prefillMsPerToken,
      );
    }
    const partHolders = this.engines.get(part) ?? new Map<number, number>();
    partHolders.set(engine, now);
    this.engines.delete(part);
    this.engines.set(part, partHolders);
    if (this.engines.size <= MAX_PARTS) return;
    const [oldest] = this.engines.keys();
    this.engines.delete(oldest!);
    this.announcedAt.delete(oldest!);
  }

  private enqueueUpdate(update: PrefixUpdate, now: number): void {
    const [part, engine] = update;
    const announcedByEngine = this.announcedAt.get(part) ??
      new Map<number, number>();
    const lastAnnouncedAt = announcedByEngine.get(engine) ?? -Infinity;
    if (now - lastAnnouncedAt < REPEAT_INTERVAL_MS) return;
    announcedByEngine.set(engine, now);
    this.announcedAt.set(part, announcedByEngine);
    this.pendingUpdates.push(update);
  }
}
