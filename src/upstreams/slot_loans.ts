import type { Timeline } from "../clock/timeline.ts";
import type { Logger } from "../logging/logger.ts";
import type { Random } from "../random/random.ts";
import type { FleetSlots } from "./fleet_slots.ts";
import { SlotBorrower } from "./slot_borrower.ts";
import { SlotLender } from "./slot_lender.ts";
import type {
  SendSlotMessage,
  SlotMessage,
  SlotMessageOf,
} from "./slot_message.ts";
import type { Upstream } from "./upstream.ts";

/** Handles a message of one type from the host with a gossip address. */
type SlotMessageHandler<Type extends SlotMessage["type"]> = (
  message: SlotMessageOf<Type>,
  sender: string,
) => void;

/** Dependencies of {@link SlotLoans}. */
export interface SlotLoansOptions {
  logger: Logger;
  /** Distributes the slots among the hosts. */
  slots: FleetSlots;
  timeline: Timeline;
  random: Random;
  /** Gossip address of this host. */
  ownAddress: string;
  /** Returns the gossip address of another host; undefined if it is not known. */
  getAddress: (hostId: string) => string | undefined;
  /** Returns a known upstream by the hash of its instance. */
  findUpstream: (instanceHash: number) => Upstream | undefined;
  send: SendSlotMessage;
}

/** The slots of upstreams that this host owns or has borrowed. A host whose own slots are in use, or that owns none,
 * borrows one for a request and returns it afterwards, so that every host can send requests and the fleet fills no more
 * slots than there are. */
export class SlotLoans {
  private readonly lender: SlotLender;
  private readonly borrower: SlotBorrower;
  private readonly handlers: {
    readonly [Type in SlotMessage["type"]]: SlotMessageHandler<Type>;
  } = {
    slot_request: (request) =>
      this.lender.handleRequest(
        request,
        this.options.findUpstream(request.instanceHash),
        this.options.timeline.read(),
      ),
    slot_response: (response, sender) =>
      this.borrower.handleResponse(response, sender),
    slot_loan_report: (report) =>
      this.lender.handleReport(report, this.options.timeline.read()),
  };

  private constructor(private readonly options: SlotLoansOptions) {
    const getOwners = (upstream: Upstream, now: number) =>
      this.getOwners(upstream, now);
    this.lender = SlotLender.create({ ...options, getOwners });
    this.borrower = SlotBorrower.create({
      ...options,
      getOwners,
      countUsed: (instanceHash, now) => this.countUsed(instanceHash, now),
    });
  }

  /** Creates a record without loans.
   * @param options Its dependencies. */
  static create(options: SlotLoansOptions): SlotLoans {
    return new SlotLoans(options);
  }

  /** Whether this host has a slot of an upstream, owned or borrowed, that no request uses.
   * @param upstream The upstream.
   * @param now Monotonic milliseconds. */
  hasFreeSlot(upstream: Upstream, now: number): boolean {
    const borrowed = this.borrower.count(upstream, now);
    return this.lender.countFree(upstream, now) + borrowed > 0;
  }

  /** Borrows a slot of one of several upstreams. Resolves with whether a host has lent one.
   * @param upstreams The upstreams. */
  borrow(upstreams: readonly Upstream[]): Promise<boolean> {
    return this.borrower.borrow(upstreams);
  }

  /** Handles a message of another host.
   * @param message The message.
   * @param sender Gossip address of the host. */
  handle(message: SlotMessage, sender: string): void {
    const handler = this.handlers[message.type] as SlotMessageHandler<
      SlotMessage["type"]
    >;
    handler(message, sender);
  }

  /** Cancels what is scheduled, and ends the wait for slots. */
  close(): void {
    this.borrower.close();
  }

  private getOwners({ id, published }: Upstream, now: number): string[] {
    const { slots, getAddress } = this.options;
    return slots.getOtherOwners(id, published.slots, now)
      .flatMap((hostId) => getAddress(hostId) ?? []);
  }

  /** Returns how many requests of this host exceed its own slots of an upstream. */
  private countUsed(instanceHash: number, now: number): number {
    const upstream = this.options.findUpstream(instanceHash);
    return upstream ? -this.lender.countFree(upstream, now) : 0;
  }
}
