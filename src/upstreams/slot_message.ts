/** Messages with which hosts lend each other slots of upstreams. */
export type SlotMessage =
  /** Asks for a slot of an upstream. `borrower` is the gossip address of the host that asks; a host that owns no slot
   * forwards the request once. */
  | {
    type: "slot_request";
    loanId: number;
    instanceHash: number;
    borrower: string;
    isForwarded: boolean;
  }
  /** Responds to such a request. */
  | {
    type: "slot_response";
    loanId: number;
    instanceHash: number;
    isGranted: boolean;
  }
  /** Tells the lender which loans are still in use, and which have ended. */
  | {
    type: "slot_loan_report";
    borrower: string;
    inUse: readonly number[];
    ended: readonly number[];
  };

/** A message of one type. */
export type SlotMessageOf<Type extends SlotMessage["type"]> = Extract<
  SlotMessage,
  { type: Type }
>;

/** Sends a message to the gossip address of a host, without delivery guarantee. */
export type SendSlotMessage = (address: string, message: SlotMessage) => void;

/** Types of the messages. */
export const SLOT_MESSAGE_TYPES = [
  "slot_request",
  "slot_response",
  "slot_loan_report",
] as const satisfies readonly SlotMessage["type"][];
