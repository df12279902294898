import { StaggeredRace } from "../clock/staggered_race.ts";
import type { CancelTimer, Timeline } from "../clock/timeline.ts";
import type { Random } from "../random/random.ts";
import { BorrowedSlots } from "./borrowed_slots.ts";
import { chooseLenders, type Lender } from "./choose_lenders.ts";
import type { SendSlotMessage, SlotMessageOf } from "./slot_message.ts";
import type { Upstream } from "./upstream.ts";

/** Time without a response after which the next host is asked, in milliseconds. */
const STAGGER_MS = 40;
/** Time for which the response of a host is awaited, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 120;
/** Time after which a request gets no slot, in milliseconds. */
const BORROW_TIMEOUT_MS = 300;
/** Maximum number of requests of this host that wait for a slot at the same time. */
const MAX_WAITING = 16;
/** Interval at which unused slots are returned, in milliseconds; short, since nobody uses them until then. */
const RETURN_INTERVAL_MS = 10;
/** Largest id of a loan. */
const MAX_LOAN_ID = 2 ** 31 - 1;

/** Dependencies of a {@link SlotBorrower}. */
export interface SlotBorrowerOptions {
  timeline: Timeline;
  random: Random;
  /** Gossip address of this host. */
  ownAddress: string;
  /** Returns the gossip addresses of the other hosts that own slots of an upstream. */
  getOwners: (upstream: Upstream, now: number) => readonly string[];
  /** Returns how many borrowed slots of an upstream are used, by the hash of its instance. */
  countUsed: (instanceHash: number, now: number) => number;
  send: SendSlotMessage;
}

/** A request for a slot whose response is awaited. */
interface PendingLoan {
  /** Monotonic milliseconds. */
  requestedAt: number;
  /** Called with whether the slot is granted. */
  settle: (isGranted: boolean) => void;
}

/** Borrows slots of upstreams from other hosts, and returns them once no request uses them. */
export class SlotBorrower {
  private readonly borrowed = BorrowedSlots.create();
  private readonly pending = new Map<number, PendingLoan>();
  private waiting = 0;
  private stopReturning: CancelTimer | undefined;

  private constructor(private readonly options: SlotBorrowerOptions) {}

  /** Creates a borrower without loans.
   * @param options Its dependencies. */
  static create(options: SlotBorrowerOptions): SlotBorrower {
    return new SlotBorrower(options);
  }

  /** Returns the number of slots of an upstream that are borrowed.
   * @param upstream The upstream.
   * @param now Monotonic milliseconds. */
  count({ instanceHash }: Upstream, now: number): number {
    return this.borrowed.count(instanceHash, now);
  }

  /** Borrows a slot of one of several upstreams. Resolves with whether a host has lent one.
   * @param upstreams The upstreams. */
  async borrow(upstreams: readonly Upstream[]): Promise<boolean> {
    if (this.waiting >= MAX_WAITING) return false;
    this.waiting += 1;
    const { getOwners, random, timeline } = this.options;
    const now = timeline.read();
    const lenders = chooseLenders({
      upstreams,
      getOwners: (upstream) => getOwners(upstream, now),
      random,
    });
    const isGranted = await StaggeredRace.run({
      getNextAttempt: () => {
        const lender = lenders.shift();
        return lender && (() => this.request(lender));
      },
      staggerMs: STAGGER_MS,
      timeoutMs: BORROW_TIMEOUT_MS,
      createTimeoutError: () => new Error("no slot in time"),
      // Another request uses the slot, or it is returned.
      onLateResult: () => undefined,
      timeline,
    }).catch(() => false);
    this.waiting -= 1;
    return isGranted;
  }

  /** Handles the response of another host; a loan that is granted late is returned unless another request uses it.
   * @param response The response.
   * @param lender Gossip address of the host. */
  handleResponse(
    { loanId: id, instanceHash, isGranted }: SlotMessageOf<"slot_response">,
    lender: string,
  ): void {
    const pending = this.pending.get(id);
    if (isGranted) {
      const now = this.options.timeline.read();
      const requestedAt = pending?.requestedAt ?? now - RESPONSE_TIMEOUT_MS;
      this.borrowed.add({ id, instanceHash, lender, requestedAt });
      this.startReturning();
    }
    pending?.settle(isGranted);
  }

  /** Cancels what is scheduled, and ends the wait for slots. */
  close(): void {
    this.stopReturning?.();
    for (const { settle } of this.pending.values()) settle(false);
  }

  /** Requests a slot of another host; rejects if that host lends none in time. */
  private request({ address, upstream }: Lender): Promise<true> {
    const { random, ownAddress, send } = this.options;
    const { instanceHash } = upstream;
    const loanId = random.integer(0, MAX_LOAN_ID);
    const response = this.awaitResponse(loanId);
    send(address, {
      type: "slot_request",
      loanId,
      instanceHash,
      borrower: ownAddress,
      isForwarded: false,
    });
    return response;
  }

  private awaitResponse(loanId: number): Promise<true> {
    const { timeline } = this.options;
    return new Promise<true>((resolve, reject) => {
      const settle = (isGranted: boolean) => {
        cancelTimeout();
        this.pending.delete(loanId);
        if (isGranted) resolve(true);
        else reject(new Error("no slot was granted"));
      };
      const cancelTimeout = timeline.after(
        RESPONSE_TIMEOUT_MS,
        () => settle(false),
      );
      this.pending.set(loanId, { requestedAt: timeline.read(), settle });
    });
  }

  private startReturning(): void {
    this.stopReturning ??= this.options.timeline.every(
      RETURN_INTERVAL_MS,
      () => this.updateLoans(),
    );
  }

  /** Returns the slots that no request uses, and renews the loans of the others. */
  private updateLoans(): void {
    const { timeline, ownAddress: borrower, countUsed, send } = this.options;
    const now = timeline.read();
    this.borrowed.endUnused((hash) => countUsed(hash, now), now);
    for (const { lender, inUse, ended } of this.borrowed.takeReports(now)) {
      send(lender, { type: "slot_loan_report", borrower, inUse, ended });
    }
    if (!this.borrowed.isEmpty) return;
    this.stopReturning?.();
    this.stopReturning = undefined;
  }
}
