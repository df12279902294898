/** Time after which a loan that the borrower does not renew ends, in milliseconds. */
export const LOAN_MS = 500;
/** Time after which a loan ends that the borrower has not renewed yet, in milliseconds; it may not know of the loan. */
const UNCONFIRMED_LOAN_MS = 150;

interface Grant {
  instanceHash: number;
  /** Monotonic milliseconds. */
  endsAt: number;
}

/** The slots of upstreams that this host owns and has lent to other hosts. */
export class GrantedSlots {
  /** By borrower and id of the loan. */
  private readonly grants = new Map<string, Grant>();

  /** Creates a record without loans. */
  static create(): GrantedSlots {
    return new GrantedSlots();
  }

  /** Returns the number of slots of an upstream that are lent.
   * @param instanceHash Hash of the upstream's instance.
   * @param now Monotonic milliseconds. */
  count(instanceHash: number, now: number): number {
    this.removeEnded(now);
    return [...this.grants.values()].filter((grant) =>
      grant.instanceHash === instanceHash
    ).length;
  }

  /** Lends a slot.
   * @param borrower Gossip address of the borrower.
   * @param loanId Id that the borrower gave to the loan.
   * @param instanceHash Hash of the upstream's instance.
   * @param now Monotonic milliseconds. */
  grant(
    borrower: string,
    loanId: number,
    instanceHash: number,
    now: number,
  ): void {
    const endsAt = now + UNCONFIRMED_LOAN_MS;
    this.grants.set(formatKey(borrower, loanId), { instanceHash, endsAt });
  }

  /** Extends loans that are still in use, as far as they have not ended.
   * @param borrower Gossip address of the borrower.
   * @param loanIds Ids of the loans.
   * @param now Monotonic milliseconds. */
  renew(borrower: string, loanIds: readonly number[], now: number): void {
    for (const loanId of loanIds) {
      const grant = this.grants.get(formatKey(borrower, loanId));
      if (grant) grant.endsAt = now + LOAN_MS;
    }
  }

  /** Ends loans.
   * @param borrower Gossip address of the borrower.
   * @param loanIds Ids of the loans. */
  end(borrower: string, loanIds: readonly number[]): void {
    for (const loanId of loanIds) {
      this.grants.delete(formatKey(borrower, loanId));
    }
  }

  private removeEnded(now: number): void {
    for (const [key, { endsAt }] of this.grants) {
      if (now >= endsAt) this.grants.delete(key);
    }
  }
}

function formatKey(borrower: string, loanId: number): string {
  return `${borrower} ${loanId}`;
}
