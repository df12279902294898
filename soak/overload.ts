import type { RequestKind } from "./caller_attempt.ts";
import type { PromptSize } from "./prompt_size.ts";
import { COMPETING_CUSTOMERS, CUSTOMER } from "./soak_customers.ts";

/** A period in which callers send more than the workers have room for. */
export interface Overload {
  /** Name of its traffic in `OVERLOAD_TRAFFIC`. */
  name: string;
  from: number;
  /** Undefined while it lasts. */
  to: number | undefined;
}

/** What a group of callers draws its requests from. */
export interface Traffic {
  customers: readonly string[];
  kinds: readonly RequestKind[];
  sizes: readonly PromptSize[];
}

const ALL_CUSTOMERS = [CUSTOMER, ...COMPETING_CUSTOMERS];
const ALL_KINDS = ["look", "book", "chat", "talk"] as const;
const ALL_SIZES = ["short", "usual", "long"] as const;

/** Traffic of the callers that send during an overload only, by its name. */
export const OVERLOAD_TRAFFIC: Readonly<Record<string, Traffic>> = {
  everyone: { customers: ALL_CUSTOMERS, kinds: ALL_KINDS, sizes: ALL_SIZES },
  one_customer: {
    customers: COMPETING_CUSTOMERS.slice(0, 1),
    kinds: ALL_KINDS,
    sizes: ALL_SIZES,
  },
  long_prompts: {
    customers: ALL_CUSTOMERS,
    kinds: ["chat", "talk"],
    sizes: ["long"],
  },
};

/** Returns the traffic of a customer's usual callers.
 * @param customer Name of the customer. */
export function getUsualTraffic(customer: string): Traffic {
  return { customers: [customer], kinds: ALL_KINDS, sizes: ALL_SIZES };
}
