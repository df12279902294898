import type { DatagramOf } from "../../src/peers/datagram.ts";
import { buildEntry } from "./build_entry.ts";

/** Builds a gossip datagram with a value for every field. */
export function buildGossip(): DatagramOf<"gossip"> {
  return {
    type: "gossip",
    message: {
      sender: buildEntry({ id: "g-1", loads: [[7, 2]] }),
      sentAt: 12.5,
      echo: 3.25,
      prefixUpdates: [[1, 2, 300]],
      relayedEntries: [{
        entry: buildEntry({ id: "g-2", rooms: [[8, 2]] }),
        agoMs: 40,
      }, {
        entry: buildEntry({ id: "g-3", isPlatformUnavailable: true }),
        agoMs: 50,
      }],
      probeNonce: 17,
      hostsDigest: 99,
      rumours: [{
        name: 5,
        incarnation: 1_700_000_000_000,
        status: "suspect",
        phase: "draining",
        agoMs: 30,
      }],
      loadReports: [{
        name: 6,
        incarnation: 1_700_000_000_001,
        sequence: 44,
        agoMs: 70,
        loads: [[7, 1]],
      }],
    },
  };
}
