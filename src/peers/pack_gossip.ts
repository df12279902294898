import type { z } from "zod";
import type {
  GossipMessage,
  gossipSchema,
  PeerEntry,
  peerEntrySchema,
} from "./gossip_schema.ts";
import { HOST_PHASES } from "./host_phase.ts";
import { packLoadReports } from "./load_report.ts";
import { packHostRumours } from "./host_rumour.ts";

/** Encodes a message as the list that `gossipSchema` decodes.
 * @param message The message. */
export function packGossip(
  message: GossipMessage,
): z.input<typeof gossipSchema> {
  return [
    packEntry(message.sender),
    message.sentAt,
    message.echo ?? null,
    message.prefixUpdates,
    message.relayedEntries.map(({ entry, agoMs }) => [
      packEntry(entry),
      Math.round(agoMs),
    ]),
    message.probeNonce,
    message.hostsDigest,
    packHostRumours(message.rumours),
    packLoadReports(message.loadReports),
  ];
}

/** Encodes an entry as the list that `peerEntrySchema` decodes.
 * @param entry The entry. */
export function packEntry(entry: PeerEntry): z.input<typeof peerEntrySchema> {
  return [
    entry.id,
    entry.incarnation,
    entry.sequence,
    entry.gossipAddress,
    entry.peerAddress,
    entry.callerAddress,
    entry.hall,
    HOST_PHASES.indexOf(entry.phase),
    entry.digest,
    entry.revision,
    Math.round(entry.publicationAgeMs),
    entry.loads,
    entry.declineLimits,
    ...packOptional(entry),
  ];
}

/** Returns the last elements of an entry, which are left out if all services have room and the platform responds. */
function packOptional(
  { rooms, isPlatformUnavailable }: PeerEntry,
): [PeerEntry["rooms"]?, boolean?] {
  if (isPlatformUnavailable) return [rooms, true];
  return rooms.length > 0 ? [rooms] : [];
}
