import type { Logger } from "../logging/logger.ts";
import { UpstreamPacer } from "../scheduling/upstream_pacer.ts";
import type { FleetSlots } from "../upstreams/fleet_slots.ts";
import type { LoadCounts } from "../upstreams/load_counts.ts";

/** Parts that a pacer depends on. */
export interface PacerParts {
  logger: Logger;
  loads: LoadCounts;
  /** Number of live hosts, including this one. */
  countHosts: () => number;
}

/** Creates the pacer of a gateway, which logs each change of a pace.
 * @param parts The parts that it depends on.
 * @param slots Distributes the permitted requests among the hosts. */
export function createPacer(
  { logger, loads, countHosts }: PacerParts,
  slots: FleetSlots,
): UpstreamPacer {
  return UpstreamPacer.create({
    slots,
    getRequests: (upstream, now) => loads.getTotalRequests(upstream, now),
    countHosts,
    onChange: ({ id }, { type, ...inputs }) =>
      logger.info(
        { upstream: id, ...roundNumbers(inputs) },
        `upstream_pace_${type}`,
      ),
  });
}

/** Returns the fields of a log line with numbers of at most two decimals. */
function roundNumbers(fields: object): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(fields).map(([name, value]: [string, unknown]) => [
      name,
      typeof value === "number" ? Math.round(value * 100) / 100 : value,
    ]),
  );
}
