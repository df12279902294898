import type { Logger } from "../logging/logger.ts";
import type { AvailabilityChange } from "./availability.ts";

/** Logs a change of an upstream's availability.
 * @param logger Logger to write to.
 * @param upstreamId Id of the upstream.
 * @param change The change.
 * @param backoffMs Remaining time of the requested backoff, in milliseconds. */
export function logAvailabilityChange(
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
