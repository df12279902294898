import type { Logger } from "../logging/logger.ts";
import type { AvailabilityChange } from "./availability.ts";

/** Writes that an upstream has said otherwise than before whether it takes requests.
 * @param logger Where to write.
 * @param upstreamId The upstream.
 * @param change What has changed.
 * @param backoffMs Time that is left of the backoff that it asked for, in milliseconds. */
export function logAvailability(
  logger: Logger,
  upstreamId: string,
  change: AvailabilityChange,
  backoffMs: number,
): void {
  logger.info(
    { upstream: upstreamId, change, backoffMs: Math.round(backoffMs) },
    "upstream_availability",
  );
}
