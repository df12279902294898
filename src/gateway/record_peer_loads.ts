import type { PeerEntry } from "../peers/gossip_schema.ts";
import type { LoadCounts } from "../upstreams/load_counts.ts";

/** Time for which another host's request counts are used: a few gossip rounds, and in a large fleet the time that
 * counts take when other hosts relay them. */
const PEER_LOADS_TTL_MS = { small: 1_200, large: 2_500 } as const;

/** Records the request counts that another host reported.
 * @param loads Receives the counts.
 * @param entry The reported state of the host.
 * @param reportedAt Monotonic milliseconds at which the host reported it, as far as is known.
 * @param isLargeFleet Whether other hosts relay the counts. */
export function recordPeerLoads(
  loads: LoadCounts,
  entry: PeerEntry,
  reportedAt: number,
  isLargeFleet: boolean,
): void {
  const ttlMs = PEER_LOADS_TTL_MS[isLargeFleet ? "large" : "small"];
  const expiresAt = reportedAt + ttlMs;
  loads.record(entry.id, {
    reportedAt,
    expiresAt,
    counts: entry.loads,
  });
}
