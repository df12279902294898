import type { Logger } from "../logging/logger.ts";
import type { Random } from "../random/random.ts";
import type { FleetSlots } from "./fleet_slots.ts";
import { LentSlots } from "./lent_slots.ts";
import type { SendSlotMessage, SlotMessageOf } from "./slot_message.ts";
import type { Upstream } from "./upstream.ts";

/** Dependencies of a {@link SlotLender}. */
export interface SlotLenderOptions {
  logger: Logger;
  /** Distributes the slots among the hosts. */
  slots: FleetSlots;
  random: Random;
  /** Returns the gossip addresses of the other hosts that own slots of an upstream. */
  getOwners: (upstream: Upstream, now: number) => readonly string[];
  send: SendSlotMessage;
}

/** Lends slots of upstreams that this host owns, and does not use, to other hosts. */
export class SlotLender {
  private readonly lent = LentSlots.create();

  private constructor(private readonly options: SlotLenderOptions) {}

  /** Creates a lender that has lent nothing.
   * @param options Its dependencies. */
  static create(options: SlotLenderOptions): SlotLender {
    return new SlotLender(options);
  }

  /** Returns the number of own slots that neither requests of this host nor other hosts use; negative if requests of
   * this host use more than its own.
   * @param upstream The upstream.
   * @param now Monotonic milliseconds. */
  countFree(upstream: Upstream, now: number): number {
    return this.countOwn(upstream, now) - upstream.ownRequests -
      this.lent.count(upstream.instanceHash, now);
  }

  /** Handles the request of another host for a slot. A host that owns no slot forwards the request, because the borrower
   * may not know the fleet yet.
   * @param request The request.
   * @param upstream The upstream; undefined if this host does not know it.
   * @param now Monotonic milliseconds. */
  handleRequest(
    request: SlotMessageOf<"slot_request">,
    upstream: Upstream | undefined,
    now: number,
  ): void {
    if (upstream && this.forward(request, upstream, now)) return;
    const { loanId, instanceHash, borrower } = request;
    const free = upstream ? this.countFree(upstream, now) : 0;
    const isGranted = free > 0;
    if (isGranted) this.lent.add(borrower, loanId, instanceHash, now);
    this.options.logger.debug(
      { borrower, loanId, upstream: upstream?.id, free, isGranted },
      "slot_request_decided",
    );
    this.options.send(borrower, {
      type: "slot_response",
      loanId,
      instanceHash,
      isGranted,
    });
  }

  /** Handles what a borrower reports about its loans.
   * @param report The report.
   * @param now Monotonic milliseconds. */
  handleReport(
    { borrower, inUse, ended }: SlotMessageOf<"slot_loan_report">,
    now: number,
  ): void {
    this.lent.renew(borrower, inUse, now);
    this.lent.end(borrower, ended);
  }

  /** Forwards a request to a host that owns a slot, unless this one does; returns whether it was forwarded. */
  private forward(
    request: SlotMessageOf<"slot_request">,
    upstream: Upstream,
    now: number,
  ): boolean {
    if (request.isForwarded || this.countOwn(upstream, now) > 0) return false;
    const owners = this.options.getOwners(upstream, now).filter((owner) =>
      owner !== request.borrower
    );
    if (owners.length === 0) return false;
    const owner = this.options.random.pick(owners);
    this.options.send(owner, { ...request, isForwarded: true });
    return true;
  }

  private countOwn({ id, published }: Upstream, now: number): number {
    return this.options.slots.countOwn(id, published.slots, now);
  }
}
