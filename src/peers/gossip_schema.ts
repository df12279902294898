import { z } from "zod";
import { HOST_PHASES } from "./host_phase.ts";
import { loadReportsSchema } from "./load_report.ts";
import { hostRumoursSchema } from "./host_rumour.ts";
import {
  declineLimitsSchema,
  loadCountsSchema,
  prefixUpdatesSchema,
  roomStatementsSchema,
} from "./message_schemas.ts";

/** The state that a host advertises about itself. Encoded as a list, since field names would be two thirds of a
 * datagram. */
export const peerEntrySchema = z.tuple([
  z.string(),
  z.number(),
  z.number().int(),
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.number().int().min(0).max(HOST_PHASES.length - 1),
  z.number(),
  z.number(),
  z.number(),
  loadCountsSchema,
  declineLimitsSchema,
  roomStatementsSchema.optional(),
  z.boolean().optional(),
]).transform((list) => ({
  id: list[0],
  /** Increases with each start of the host, each change of its phase and each suspicion that it refutes. */
  incarnation: list[1],
  /** Increases with each gossip round of the host. */
  sequence: list[2],
  /** Address of its gossip socket, as ip:port. */
  gossipAddress: list[3],
  /** Address at which it serves other hosts over HTTP, as ip:port. */
  peerAddress: list[4],
  /** Address at which callers connect, as ip:port. */
  callerAddress: list[5],
  hall: list[6],
  phase: HOST_PHASES[list[7]]!,
  /** Digest of the host's copy of the publication. */
  digest: list[8],
  /** Highest revision that it has merged. */
  revision: list[9],
  /** Age of its copy, in milliseconds; -1 if it has none. */
  publicationAgeMs: list[10],
  /** Its in-flight requests by upstream, each a `LoadCount`. */
  loads: list[11],
  /** What the upstreams of services state about declines, as known to the host; each a `DeclineLimit`. */
  declineLimits: list[12],
  /** How much room services have according to the host, apart from those with free room; each a `RoomStatement`. */
  rooms: list[13] ?? [],
  /** Whether the platform does not respond to the host. */
  isPlatformUnavailable: list[14] ?? false,
}));

/** The state that a host advertises about itself. */
export type PeerEntry = z.infer<typeof peerEntrySchema>;

/** A gossip message, encoded as a list. */
export const gossipSchema = z.tuple([
  peerEntrySchema,
  z.number(),
  z.number().nullable(),
  prefixUpdatesSchema,
  z.array(z.tuple([peerEntrySchema, z.number()])),
  z.number(),
  z.number(),
  hostRumoursSchema,
  loadReportsSchema,
]).transform((list) => ({
  sender: list[0],
  /** Monotonic milliseconds of the sender's clock. */
  sentAt: list[1],
  /** The latest `sentAt` that the sender has received from the receiver, if any. */
  echo: list[2] ?? undefined,
  /** Which engines were sent which parts of prompts, and the tokens that they had to prefill; each a `PrefixUpdate`. */
  prefixUpdates: list[3],
  /** Latest entries of other hosts that the sender has, with their ages. */
  relayedEntries: list[4].map(([entry, agoMs]) => ({ entry, agoMs })),
  /** Nonce of the probe that the receiver acknowledges; 0 if the message is not a probe. */
  probeNonce: list[5],
  /** Digest of the hosts that the sender considers live; 0 in a small fleet. */
  hostsDigest: list[6],
  /** Recent membership changes that the sender disseminates. */
  rumours: list[7],
  /** In-flight requests of other hosts, as last reported to the sender. */
  loadReports: list[8],
}));

/** A gossip message. */
export type GossipMessage = z.infer<typeof gossipSchema>;
