import { hashText } from "../hashing/hasher.ts";

/** Time for which an engine is taken to keep what it read, in milliseconds: rereading costs only where a part was used
 * within about ten seconds, and memory lasts some times as long. */
const KEPT_FOR_MS = 30_000;
/** Time after which it is told again that an engine keeps a part that goes on being used, in milliseconds. */
const TELL_AGAIN_MS = 5_000;
/** Parts remembered; the one unused longest gives way. */
const MAX_PARTS = 50_000;
/** Facts told to other hosts in one round, so that they fit into one packet. */
const MAX_FACTS = 60;

/** That an engine was sent a part of a prompt: short names of the part and of the engine. */
export type PrefixFact = [part: number, engine: number];

/** Which engines keep which parts of prompts, from what this host and others sent there. */
export class PrefixIndex {
  /** By part, the engines with the monotonic milliseconds of the last request. */
  private readonly engines = new Map<number, Map<number, number>>();
  private readonly toldAt = new Map<number, Map<number, number>>();
  private untold: PrefixFact[] = [];

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

  /** Records that this host sends parts to an engine.
   * @param parts Short names of the parts.
   * @param engine Short name of the engine.
   * @param now Monotonic milliseconds. */
  noteSent(parts: readonly number[], engine: number, now: number): void {
    for (const part of parts) {
      this.put(part, engine, now);
      this.queue(part, engine, now);
    }
  }

  /** Records what another host told.
   * @param facts The facts.
   * @param now Monotonic milliseconds. */
  learn(facts: readonly PrefixFact[], now: number): void {
    for (const [part, engine] of facts) this.put(part, engine, now);
  }

  /** The facts to tell other hosts in this round; each is given once. */
  takeFacts(): PrefixFact[] {
    return this.untold.splice(0, MAX_FACTS);
  }

  /** The facts used last, for a host that has just started.
   * @param limit Most facts.
   * @param now Monotonic milliseconds. */
  getRecent(limit: number, now: number): PrefixFact[] {
    const facts: PrefixFact[] = [];
    for (const [part, keepings] of [...this.engines].reverse()) {
      for (const [engine, usedAt] of keepings) {
        if (now - usedAt < KEPT_FOR_MS) facts.push([part, engine]);
      }
      if (facts.length >= limit) break;
    }
    return facts.slice(0, limit);
  }

  /** Whether there are facts that were not told. */
  get hasUntold(): boolean {
    return this.untold.length > 0;
  }

  /** Whether an engine is taken to keep a part.
   * @param part Short name of the part.
   * @param engine Short name of the engine.
   * @param now Monotonic milliseconds. */
  isKept(part: number, engine: number, now: number): boolean {
    const at = this.engines.get(part)?.get(engine);
    return at !== undefined && now - at < KEPT_FOR_MS;
  }

  private put(part: number, engine: number, now: number): void {
    const known = this.engines.get(part) ?? new Map<number, number>();
    known.set(engine, now);
    this.engines.delete(part);
    this.engines.set(part, known);
    if (this.engines.size <= MAX_PARTS) return;
    const [oldest] = this.engines.keys();
    this.engines.delete(oldest!);
    this.toldAt.delete(oldest!);
  }

  private queue(part: number, engine: number, now: number): void {
    const told = this.toldAt.get(part) ?? new Map<number, number>();
    const last = told.get(engine) ?? -Infinity;
    if (now - last < TELL_AGAIN_MS) return;
    told.set(engine, now);
    this.toldAt.set(part, told);
    this.untold.push([part, engine]);
  }
}
