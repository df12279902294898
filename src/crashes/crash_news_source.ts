import type { Random } from "../random/random.ts";
import type { CompletionCounts } from "./completion_counts.ts";
import type { CrashNews } from "./crash_news.ts";
import type { PartHolds } from "./part_holds.ts";
import type { CrashStore } from "./crash_store.ts";

/** Maximum numbers of reports, counts and held causes in one message. At about 45, 13 and 12 bytes each, a datagram of
 * them fits into one packet. */
const MAX_REPORTS_PER_MESSAGE = 20;
const MAX_COUNTS_PER_MESSAGE = 30;
const MAX_HOLDS_PER_MESSAGE = 5;

/** Selects what other hosts are told about crashes, and merges what they tell. */
export class CrashNewsSource {
  private constructor(
    private readonly store: CrashStore,
    private readonly completions: CompletionCounts,
    private readonly holds: Pick<PartHolds, "heldParts" | "confirm">,
  ) {}

  /** Creates a source.
   * @param store The recorded crashes.
   * @param completions The completions of the parts of prompts.
   * @param holds The held parts. */
  static create(
    store: CrashStore,
    completions: CompletionCounts,
    holds: Pick<PartHolds, "heldParts" | "confirm">,
  ): CrashNewsSource {
    return new CrashNewsSource(store, completions, holds);
  }

  /** Whether anything was not yet sent to other hosts. */
  get hasPending(): boolean {
    return this.store.hasPendingReports || this.completions.hasPending;
  }

  /** Whether there is nothing to tell. */
  get isEmpty(): boolean {
    return this.store.isEmpty;
  }

  /** Removes and returns news that was not yet sent, as much as fits into a message.
   * @param now Monotonic milliseconds. */
  takePending(now: number): CrashNews {
    return {
      reports: this.store.takePendingReports(MAX_REPORTS_PER_MESSAGE, now),
      completions: this.completions.takePending(MAX_COUNTS_PER_MESSAGE),
      heldParts: this.getHeldParts(),
    };
  }

  /** Returns news for a host that may have missed it: reports, and the completions of their parts.
   * @param now Monotonic milliseconds.
   * @param random Source of the random choice. */
  sample(now: number, random: Random): CrashNews {
    const reports = this.store.sampleReports(
      MAX_REPORTS_PER_MESSAGE,
      now,
      random,
    );
    const parts = new Set(reports.flatMap((report) => report.parts));
    const completions = [...parts].flatMap((part) =>
      this.completions.getCounts(part)
    );
    return {
      reports,
      completions: random.shuffle(completions).slice(0, MAX_COUNTS_PER_MESSAGE),
      heldParts: this.getHeldParts(),
    };
  }

  /** Merges news of another host. What is new becomes pending.
   * @param news The news.
   * @param now Monotonic milliseconds. */
  merge({ reports, completions, heldParts }: CrashNews, now: number): void {
    this.store.mergeReports(reports, now);
    for (const count of completions) this.completions.merge(count);
    for (const parts of heldParts) this.holds.confirm(parts);
  }

  private getHeldParts(): (readonly number[])[] {
    return this.holds.heldParts.slice(0, MAX_HOLDS_PER_MESSAGE);
  }
}
