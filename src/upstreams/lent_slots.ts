/** Time after which a loan that the borrower does not renew ends, in milliseconds. */
export const LOAN_MS = 500;
/** Time after which a loan ends that the borrower has never renewed, in milliseconds. It is shorter, because the borrower
 * may not know of the loan. */
const UNCONFIRMED_LOAN_MS = 150;

interface LentSlot {
  instanceHash: number;
  /** Monotonic milliseconds. */
  endsAt: number;
}

/** The slots of upstreams that this host owns and has lent to other hosts. */
export class LentSlots {
  /** By borrower and id of the loan. */
  private readonly slots = new Map<string, LentSlot>();

  /** Creates a record without loans. */
  static create(): LentSlots {
    return new LentSlots();
  }

  /** Returns the number of slots of an upstream that are lent.
   * @param instanceHash Hash of the upstream's instance.
   * @param now Monotonic milliseconds. */
  count(instanceHash: number, now: number): number {
    this.removeEnded(now);
    return [...this.slots.values()].filter((slot) =>
      slot.instanceHash === instanceHash
    ).length;
  }

  /** Lends a slot.
   * @param borrower Gossip address of the borrower.
   * @param loanId Id that the borrower gave to the loan.
   * @param instanceHash Hash of the upstream's instance.
   * @param now Monotonic milliseconds. */
  add(
    borrower: string,
    loanId: number,
    instanceHash: number,
    now: number,
  ): void {
    const endsAt = now + UNCONFIRMED_LOAN_MS;
    this.slots.set(formatKey(borrower, loanId), { instanceHash, endsAt });
  }

  /** Extends loans that are still in use, as far as they have not ended.
   * @param borrower Gossip address of the borrower.
   * @param loanIds Ids of the loans.
   * @param now Monotonic milliseconds. */
  renew(borrower: string, loanIds: readonly number[], now: number): void {
    for (const loanId of loanIds) {
      const slot = this.slots.get(formatKey(borrower, loanId));
      if (slot) slot.endsAt = now + LOAN_MS;
    }
  }

  /** Ends loans.
   * @param borrower Gossip address of the borrower.
   * @param loanIds Ids of the loans. */
  end(borrower: string, loanIds: readonly number[]): void {
    for (const loanId of loanIds) {
      this.slots.delete(formatKey(borrower, loanId));
    }
  }

  private removeEnded(now: number): void {
    for (const [key, { endsAt }] of this.slots) {
      if (now >= endsAt) this.slots.delete(key);
    }
  }
}

function formatKey(borrower: string, loanId: number): string {
  return `${borrower} ${loanId}`;
}
