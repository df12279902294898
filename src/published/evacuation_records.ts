import { hashText } from "../hashing/hasher.ts";
import type { EvacuationChange } from "./evacuation_change.ts";
import { getEra } from "./position.ts";

/** Maximum number of halls of which a change is kept; far more than a fleet has. Only withdrawals are removed. */
const MAX_RECORDS = 256;

/** The last known evacuation change of each hall. The change with the highest position is kept, so merging gives the
 * same result in any order. */
export class EvacuationRecords {
  private readonly records = new Map<string, EvacuationChange>();
  private digestSum = 0;

  private constructor() {}

  /** Creates records without evacuations. */
  static create(): EvacuationRecords {
    return new EvacuationRecords();
  }

  /** Digest that is equal on processes that know the same evacuations in force. */
  get digest(): number {
    return this.digestSum;
  }

  /** Returns the halls that are to be evacuated. */
  getEvacuatedHalls(): string[] {
    return this.getChanges().filter(({ isActive }) => isActive)
      .map(({ hall }) => hall);
  }

  /** Returns the last known change of each hall. */
  getChanges(): EvacuationChange[] {
    return [...this.records.values()];
  }

  /** Merges changes, in any order.
   * @param changes The changes.
   * @param era Changes of an earlier era of the platform are ignored.
   * @returns The changes that were not known before and alter what is in force. */
  merge(
    changes: readonly EvacuationChange[],
    era: number,
  ): EvacuationChange[] {
    const applied = changes.filter((change) => this.mergeChange(change, era));
    this.removeExcess();
    return applied;
  }

  /** Returns the withdrawals that follow from a list of all evacuations in force: of the halls that it does not contain,
   * unless they changed after it.
   * @param listed The complete list.
   * @param revision Position of the list. */
  findWithdrawals(
    listed: readonly EvacuationChange[],
    revision: number,
  ): EvacuationChange[] {
    const halls = new Set(listed.map(({ hall }) => hall));
    return this.getChanges()
      .filter((known) =>
        known.isActive && !halls.has(known.hall) && known.revision < revision
      )
      .map(({ hall }) => ({ hall, revision, isActive: false }));
  }

  private mergeChange(change: EvacuationChange, era: number): boolean {
    if (getEra(change.revision) < era) return false;
    const known = this.records.get(change.hall);
    if (known && known.revision >= change.revision) return false;
    if (known) this.addToDigest(known, -1);
    this.addToDigest(change, 1);
    this.records.delete(change.hall);
    this.records.set(change.hall, change);
    return (known?.isActive ?? false) !== change.isActive;
  }

  private removeExcess(): void {
    for (const { hall, isActive } of this.getChanges()) {
      if (this.records.size <= MAX_RECORDS) return;
      if (!isActive) this.records.delete(hall);
    }
  }

  /** Adds or subtracts the contribution of a change to the digest; a withdrawal contributes nothing. */
  private addToDigest(change: EvacuationChange, sign: 1 | -1): void {
    if (!change.isActive) return;
    const hash = hashText(`evacuation ${change.hall}@${change.revision}`);
    this.digestSum = (this.digestSum + sign * hash) >>> 0;
  }
}
