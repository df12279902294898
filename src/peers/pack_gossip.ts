import type { z } from "zod";
import type {
  GossipMessage,
  gossipSchema,
  PeerEntry,
  peerEntrySchema,
} from "./gossip_schema.ts";
import { HOST_PHASES } from "./host_phase.ts";
import { packHostReports } from "./load_report.ts";
import { packHostRumours } from "./host_rumour.ts";

/** Writes a message as the lists that `gossipSchema` reads.
 * @param message The message. */
export function packGossip(
  message: GossipMessage,
): z.input<typeof gossipSchema> {
  return [
    packEntry(message.sender),
    message.sentAt,
    message.echo ?? null,
    message.facts,
    message.others.map(({ entry, agoMs }) => [
      packEntry(entry),
      Math.round(agoMs),
    ]),
    message.probe,
    message.hostsDigest,
    packHostRumours(message.rumours),
    packHostReports(message.reports),
  ];
}

/** Writes an entry as the list that `peerEntrySchema` reads.
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
  ];
}
