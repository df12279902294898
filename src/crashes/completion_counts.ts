import type { CompletionCount } from "./crash_news.ts";

/** Time for which completions of parts that no crash has touched are counted, in milliseconds: this one and the one
 * before. */
const WINDOW_MS = 60_000;
/** Maximum number of parts that are counted in a window. */
const MAX_WINDOW_PARTS = 20_000;
/** Maximum number of other processes whose counts are kept for a part. */
const MAX_REPORTERS = 8;

/** Completions of the prompts with one part that was in flight on a crashed upstream. */
interface TrackedPart {
  /** Number of completions at this process. */
  own: number;
  /** The number that other hosts were last told. */
  announced: number;
  /** Numbers of other processes by their ids. */
  readonly others: Map<number, number>;
}

/** Counts how often prompts with each part have completed, here and at other processes. A prompt counts from the moment
 * at which its response begins, because long responses complete only after many crashes. Parts are tracked once they
 * were in flight on a crashed upstream; completions shortly before that count too. */
export class CompletionCounts {
  private readonly tracked = new Map<number, TrackedPart>();
  /** Counts that were not yet sent to other hosts, by part and process. */
  private readonly pending = new Map<string, CompletionCount>();
  private window = new Map<number, number>();
  private previousWindow = new Map<number, number>();
  private windowEndsAt = -Infinity;

  private constructor(private readonly reporter: number) {}

  /** Creates empty counts.
   * @param reporter Id of this process, different after each start. */
  static create(reporter: number): CompletionCounts {
    return new CompletionCounts(reporter);
  }

  /** Records a prompt that completed, or whose response has begun.
   * @param parts Its parts.
   * @param now Monotonic milliseconds. */
  record(parts: readonly number[], now: number): void {
    this.rotateWindows(now);
    for (const part of parts) {
      const tracked = this.tracked.get(part);
      if (tracked) tracked.own += 1;
      else if (this.window.has(part) || hasRoom(this.window)) {
        this.window.set(part, (this.window.get(part) ?? 0) + 1);
      }
    }
  }

  /** Tracks parts from now on.
   * @param parts The parts.
   * @param now Monotonic milliseconds. */
  track(parts: readonly number[], now: number): void {
    this.rotateWindows(now);
    for (const part of parts) {
      if (this.tracked.has(part)) continue;
      const own = (this.window.get(part) ?? 0) +
        (this.previousWindow.get(part) ?? 0);
      this.tracked.set(part, { own, announced: 0, others: new Map() });
    }
  }

  /** Stops tracking all parts but some.
   * @param isKept Whether a part is still tracked. */
  retain(isKept: (part: number) => boolean): void {
    for (const part of [...this.tracked.keys()]) {
      if (!isKept(part)) this.tracked.delete(part);
    }
  }

  /** Returns the known number of completions of a tracked part; 0 if it is not tracked.
   * @param part Hash of the part. */
  getCount(part: number): number {
    const tracked = this.tracked.get(part);
    if (!tracked) return 0;
    return [...tracked.others.values()].reduce(
      (sum, count) => sum + count,
      tracked.own,
    );
  }

  /** Whether any prompt with a part is known to have completed lately.
   * @param part Hash of the part. */
  hasCompleted(part: number): boolean {
    return this.getCount(part) > 0 || this.window.has(part) ||
      this.previousWindow.has(part);
  }

  /** Merges a count of another process; returns whether it is news. Counts of parts that are not tracked are ignored,
   * and those beyond the maximum number of processes.
   * @param count The count. */
  merge([part, reporter, count]: CompletionCount): boolean {
    const others = this.tracked.get(part)?.others;
    if (!others || reporter === this.reporter) return false;
    const known = others.get(reporter);
    if (known === undefined && others.size >= MAX_REPORTERS) return false;
    if (known !== undefined && known >= count) return false;
    others.set(reporter, count);
    this.enqueue([part, reporter, count]);
    return true;
  }

  /** Whether any count was not yet sent to other hosts. */
  get hasPending(): boolean {
    return this.pending.size > 0;
  }

  /** Announces this process's count of a part to other hosts if it has at least doubled since the last time.
   * @param part Hash of the part. */
  announce(part: number): void {
    const tracked = this.tracked.get(part);
    if (!tracked || tracked.own === 0) return;
    if (tracked.own < 2 * tracked.announced) return;
    tracked.announced = tracked.own;
    this.enqueue([part, this.reporter, tracked.own]);
  }

  /** Removes and returns counts for other hosts.
   * @param limit Maximum number of counts. */
  takePending(limit: number): CompletionCount[] {
    const taken = [...this.pending].slice(0, limit);
    for (const [key] of taken) this.pending.delete(key);
    return taken.map(([, count]) => count);
  }

  /** Returns all known counts of a part.
   * @param part Hash of the part. */
  getCounts(part: number): CompletionCount[] {
    const tracked = this.tracked.get(part);
    if (!tracked) return [];
    const counts = [...tracked.others].map(
      ([reporter, count]): CompletionCount => [part, reporter, count],
    );
    return tracked.own === 0
      ? counts
      : [[part, this.reporter, tracked.own], ...counts];
  }

  private enqueue(count: CompletionCount): void {
    const [part, reporter] = count;
    this.pending.set(`${part}/${reporter}`, count);
  }

  private rotateWindows(now: number): void {
    if (now < this.windowEndsAt) return;
    const isRecent = now < this.windowEndsAt + WINDOW_MS;
    this.previousWindow = isRecent ? this.window : new Map();
    this.window = new Map();
    this.windowEndsAt = now + WINDOW_MS;
  }
}

function hasRoom({ size }: ReadonlyMap<number, number>): boolean {
  return size < MAX_WINDOW_PARTS;
}
