import { hashText } from "../hashing/hasher.ts";

/** Time for which an engine is taken to keep what it read, in milliseconds: rereading costs only where a part was used
 * within about ten seconds, and memory lasts some times as long. */
const CACHE_RETENTION_MS = 30_000;
/** Time after which it is told again that an engine keeps a part that goes on being used, in milliseconds. */
const REPEAT_INTERVAL_MS = 5_000;
/** Parts remembered; the one unused longest gives way. */
const MAX_PARTS = 50_000;
/** Facts told to other hosts at a time, so that they fit into one packet. */
const MAX_UPDATES_PER_DATAGRAM = 80;
/** Time that an engine takes to read a token of a prompt, in milliseconds: those served today read some 48 in one. */
const PREFILL_MS_PER_TOKEN = 1 / 48;

/** That an engine was sent a part of a prompt: short names of the part and of the engine, and the tokens that the
 * engine had to read for it, 0 where it kept the part or fetched it. */
export type PrefixFact = [part: number, engine: number, readTokens: number];

/** That an engine keeps a part: short name of the engine, and milliseconds since it was last sent the part. */
export type PrefixSighting = [engine: number, agoMs: number];

/** A part of a prompt that is sent. */
export interface SentPart {
  /** Short name of the part. */
  name: number;
  tokens: number;
}

/** Time that an engine takes to read a prompt's parts, in milliseconds.
 * @param parts The parts. */
export function estimateReadingMs(parts: readonly SentPart[]): number {
  return parts.reduce(
    (sum, { tokens }) => sum + tokens * PREFILL_MS_PER_TOKEN,
    0,
  );
}

/** Which engines keep which parts of prompts, from what this host and others sent there. */
export class PrefixIndex {
  /** By part, the engines with the monotonic milliseconds of the last request. */
  private readonly engines = new Map<number, Map<number, number>>();
  /** By engine, the monotonic milliseconds at which it has read what it was sent. */
  private readonly prefillEndsAt = new Map<number, number>();
  /** By part and engine, the monotonic milliseconds at which other hosts were last told. */
  private readonly announcedAt = new Map<number, Map<number, number>>();
  private pendingUpdates: PrefixFact[] = [];
  private isMarkedComplete = false;

  private constructor() {}

  /** Creates an empty index. */
  static create(): PrefixIndex {
    return new PrefixIndex();
  }

  /** Short name of a part.
   * @param partId Id of the part. */
  static nameOf(partId: string): number {
    return hashText(partId);
  }

  /** Whether this holds all that is to be known, rather than what came up since a start. */
  get isComplete(): boolean {
    return this.isMarkedComplete;
  }

  /** Whether there are facts that were not told; where many came at once, more than one telling is needed. */
  get hasUntold(): boolean {
    return this.pendingUpdates.length > 0;
  }

  /** Records that this host sends parts to an engine.
   * @param parts The parts.
   * @param engine Short name of the engine.
   * @param isFetched Whether the engine fetches what it lacks from another.
   * @param now Monotonic milliseconds. */
  noteSent(
    parts: readonly SentPart[],
    engine: number,
    isFetched: boolean,
    now: number,
  ): void {
    for (const { name, tokens } of parts) {
      const isRead = !isFetched && !this.isKept(name, engine, now);
      const readTokens = isRead ? tokens : 0;
      this.applyUpdate([name, engine, readTokens], now);
      this.enqueueUpdate([name, engine, readTokens], now);
    }
  }

  /** Time until an engine has read the shared parts it was sent, in milliseconds.
   * @param engine Short name of the engine.
   * @param now Monotonic milliseconds. */
  getPrefillBacklogMs(engine: number, now: number): number {
    return Math.max(0, (this.prefillEndsAt.get(engine) ?? now) - now);
  }

  /** Declares that all that is to be known was learned. */
  markComplete(): void {
    this.isMarkedComplete = true;
  }

  /** Records what another host told.
   * @param facts The facts.
   * @param now Monotonic milliseconds. */
  learn(facts: readonly PrefixFact[], now: number): void {
    for (const fact of facts) this.applyUpdate(fact, now);
  }

  /** The facts to tell other hosts in one datagram; each is given once. */
  takeFacts(): PrefixFact[] {
    return this.pendingUpdates.splice(0, MAX_UPDATES_PER_DATAGRAM);
  }

  /** All facts to tell other hosts; each is given once. */
  takeAllFacts(): PrefixFact[] {
    return this.pendingUpdates.splice(0);
  }

  /** The facts used last, for a host that has just started.
   * @param limit Most facts.
   * @param now Monotonic milliseconds. */
  getRecent(limit: number, now: number): PrefixFact[] {
    const facts: PrefixFact[] = [];
    for (const [part, keepings] of [...this.engines].reverse()) {
      for (const [engine, usedAt] of keepings) {
        if (now - usedAt < CACHE_RETENTION_MS) facts.push([part, engine, 0]);
      }
      if (facts.length >= limit) break;
    }
    return facts.slice(0, limit);
  }

  /** Whether an engine is taken to keep a part.
   * @param part Short name of the part.
   * @param engine Short name of the engine.
   * @param now Monotonic milliseconds. */
  isKept(part: number, engine: number, now: number): boolean {
    const at = this.engines.get(part)?.get(engine);
    return at !== undefined && now - at < CACHE_RETENTION_MS;
  }

  /** Whether any engine is taken to keep a part.
   * @param part Short name of the part.
   * @param now Monotonic milliseconds. */
  isKeptAnywhere(part: number, now: number): boolean {
    return this.getSightings(part, now).length > 0;
  }

  /** The engines that are taken to keep a part.
   * @param part Short name of the part.
   * @param now Monotonic milliseconds. */
  getSightings(part: number, now: number): PrefixSighting[] {
    return [...this.engines.get(part) ?? []].filter(([, usedAt]) =>
      now - usedAt < CACHE_RETENTION_MS
    ).map(([engine, usedAt]) => [engine, Math.round(now - usedAt)]);
  }

  /** Records what another host said of a part; what is known here to be later stays.
   * @param part Short name of the part.
   * @param sightings What the other host said.
   * @param now Monotonic milliseconds. */
  recall(
    part: number,
    sightings: readonly PrefixSighting[],
    now: number,
  ): void {
    for (const [engine, agoMs] of sightings) {
      const usedAt = now - Math.max(0, agoMs);
      const known = this.engines.get(part)?.get(engine) ?? -Infinity;
      if (usedAt > known) this.applyUpdate([part, engine, 0], usedAt);
    }
  }

  private applyUpdate(
    [part, engine, readTokens]: PrefixFact,
    now: number,
  ): void {
    if (readTokens > 0) {
      const startsAt = Math.max(now, this.prefillEndsAt.get(engine) ?? now);
      this.prefillEndsAt.set(
        engine,
        startsAt + readTokens * PREFILL_MS_PER_TOKEN,
      );
    }
    const known = this.engines.get(part) ?? new Map<number, number>();
    known.set(engine, now);
    this.engines.delete(part);
    this.engines.set(part, known);
    if (this.engines.size <= MAX_PARTS) return;
    const [oldest] = this.engines.keys();
    this.engines.delete(oldest!);
    this.announcedAt.delete(oldest!);
  }

  private enqueueUpdate(fact: PrefixFact, now: number): void {
    const [part, engine] = fact;
    const told = this.announcedAt.get(part) ?? new Map<number, number>();
    const last = told.get(engine) ?? -Infinity;
    if (now - last < REPEAT_INTERVAL_MS) return;
    told.set(engine, now);
    this.announcedAt.set(part, told);
    this.pendingUpdates.push(fact);
  }
}
