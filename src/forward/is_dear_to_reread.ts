import { estimateReadingMs } from "../upstreams/prefix_index.ts";
import type { RoutedCall } from "./routed_call.ts";

/** Part of a route's objective up to which reading a prompt's shared parts may take for the request to be sent elsewhere
 * when it is overdue: some are only slow, and a long prompt that is read twice costs more than the answer in time. */
const REREAD_PART = 0.1;

/** Whether reading a call's prompt a second time costs more than waiting for an answer that is overdue.
 * @param call The call. */
export function isDearToReread({ sharedParts, route }: RoutedCall): boolean {
  return estimateReadingMs(sharedParts) > route.objectiveMs * REREAD_PART;
}
