import type { PeerEntry } from "../peers/gossip_schema.ts";
import type { LoadCounts } from "../upstreams/load_counts.ts";

/** Time for which a host's counts of its requests are used, in milliseconds: some rounds of gossip, and in a large fleet
 * the time that counts take by way of other hosts. */
const PEER_LOADS_TTL_MS = { small: 1_200, large: 2_500 } as const;

/** Records the counts of requests that a host told.
 * @param loads Where they are recorded.
 * @param entry What the host told.
 * @param toldAt Monotonic milliseconds at which it told this, as far as is known.
 * @param isLargeFleet Whether counts come by way of other hosts. */
export function recordPeerLoads(
  loads: LoadCounts,
  entry: PeerEntry,
  toldAt: number,
  isLargeFleet: boolean,
): void {
  const usedForMs = PEER_LOADS_TTL_MS[isLargeFleet ? "large" : "small"];
  const usedUntil = toldAt + usedForMs;
  loads.record(entry.id, { toldAt, usedUntil, counts: entry.loads });
}
