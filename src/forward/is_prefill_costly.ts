import { estimatePrefillMs } from "../upstreams/prefix_index.ts";
import type { RoutedCall } from "./routed_call.ts";

/** Fraction of a route's objective. An overdue request is sent elsewhere only if the prefill of its shared prompt parts
 * takes no longer than this: some upstreams are only slow, and a second prefill of a long prompt costs more than a
 * response in time is worth. */
const CHEAP_PREFILL_RATIO = 0.1;

/** Whether a second prefill of a call's prompt costs more than waiting for an overdue response.
 * @param call The call. */
export function isPrefillCostly(
  { sharedParts, route }: RoutedCall,
): boolean {
  return estimatePrefillMs(sharedParts) >
    route.objectiveMs * CHEAP_PREFILL_RATIO;
}
