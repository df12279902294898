import type { PeerEntry } from "../../src/peers/gossip_schema.ts";

/** Builds the entry of a host.
 * @param changes Fields that differ from those of a ready host. */
export function buildEntry(changes: Partial<PeerEntry> = {}): PeerEntry {
  return {
    id: "g",
    incarnation: 1,
    sequence: 1,
    gossipAddress: "127.0.0.1:1",
    peerAddress: "127.0.0.1:2",
    callerAddress: "127.0.0.1:3",
    hall: "h",
    phase: "ready",
    digest: 1,
    revision: 1,
    publicationAgeMs: 10,
    loads: [],
    declineLimits: [],
    rooms: [],
    isPlatformUnavailable: false,
    ...changes,
  };
}
