import { LOAN_MS } from "./lent_slots.ts";

/** Interval at which loans in use are renewed, in milliseconds; several renewals may be lost before a loan ends. */
const RENEWAL_INTERVAL_MS = 100;
/** Number of times that a lender is told of the end of a loan, since messages may be lost. */
const END_REPORTS = 3;

/** A slot of an upstream that another host has lent to this one. */
export interface SlotLoan {
  id: number;
  instanceHash: number;
  /** Gossip address of the lender. */
  lender: string;
  /** Monotonic milliseconds at which the loan was requested. */
  requestedAt: number;
  /** Monotonic milliseconds at which it was last renewed; undefined if it was not yet. */
  renewedAt?: number;
}

/** What a lender is told about its loans. */
export interface LoanReport {
  lender: string;
  /** Ids of the loans that are renewed. */
  inUse: number[];
  /** Ids of the loans that have ended. */
  ended: number[];
}

/** The slots of upstreams that other hosts have lent to this one, and what the lenders are still to be told. */
export class BorrowedSlots {
  private readonly loans = new Map<number, SlotLoan>();
  /** The loans that have ended, with the number of times that their lenders are still to be told. */
  private readonly endReports = new Map<SlotLoan, number>();

  /** Creates a record without loans. */
  static create(): BorrowedSlots {
    return new BorrowedSlots();
  }

  /** Whether there are neither loans nor pending reports. */
  get isEmpty(): boolean {
    return this.loans.size === 0 && this.endReports.size === 0;
  }

  /** Adds a loan.
   * @param loan The loan. */
  add(loan: SlotLoan): void {
    this.loans.set(loan.id, loan);
  }

  /** Returns the number of slots of an upstream that are borrowed.
   * @param instanceHash Hash of the upstream's instance.
   * @param now Monotonic milliseconds. */
  count(instanceHash: number, now: number): number {
    return this.getLoans(instanceHash, now).length;
  }

  /** Ends the loans that no request uses, and those that the lenders have ended because no renewal reached them.
   * @param countUsed Returns how many borrowed slots of an upstream are used, by the hash of its instance.
   * @param now Monotonic milliseconds. */
  endUnused(countUsed: (instanceHash: number) => number, now: number): void {
    for (const loan of this.loans.values()) {
      if (hasExpired(loan, now)) this.loans.delete(loan.id);
    }
    const hashes = [...this.loans.values()].map((loan) => loan.instanceHash);
    for (const instanceHash of new Set(hashes)) {
      const loans = this.getLoans(instanceHash, now);
      const used = Math.max(0, countUsed(instanceHash));
      for (const loan of loans.slice(used)) this.end(loan);
    }
  }

  /** Returns what to tell the lenders now, and records that they are told.
   * @param now Monotonic milliseconds. */
  takeReports(now: number): LoanReport[] {
    const inUse = this.takeDueRenewals(now);
    const ended = this.takeEndReports();
    const lenders = new Set([...inUse, ...ended].map(({ lender }) => lender));
    return [...lenders].map((lender) => ({
      lender,
      inUse: getIds(inUse, lender),
      ended: getIds(ended, lender),
    }));
  }

  private getLoans(instanceHash: number, now: number): SlotLoan[] {
    return [...this.loans.values()].filter((loan) =>
      loan.instanceHash === instanceHash && !hasExpired(loan, now)
    );
  }

  private end(loan: SlotLoan): void {
    this.loans.delete(loan.id);
    this.endReports.set(loan, END_REPORTS);
  }

  private takeDueRenewals(now: number): SlotLoan[] {
    const due = [...this.loans.values()].filter(({ renewedAt = -Infinity }) =>
      now - renewedAt >= RENEWAL_INTERVAL_MS
    );
    for (const loan of due) loan.renewedAt = now;
    return due;
  }

  private takeEndReports(): SlotLoan[] {
    const ended = [...this.endReports.keys()];
    for (const [loan, reports] of this.endReports) {
      if (reports > 1) this.endReports.set(loan, reports - 1);
      else this.endReports.delete(loan);
    }
    return ended;
  }
}

function hasExpired(loan: SlotLoan, now: number): boolean {
  return now - (loan.renewedAt ?? loan.requestedAt) >= LOAN_MS;
}

function getIds(loans: readonly SlotLoan[], lender: string): number[] {
  return loans.filter((loan) => loan.lender === lender).map(({ id }) => id);
}
